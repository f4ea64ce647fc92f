package quarantine

import "slices"

// minRequests is the number of different requests under which endpoints must end before the
// quarantine of a part is confirmed without probes: of one request, the request itself may
// be the cause.
const minRequests = 2

// confirm makes the quarantine of a part final if enough endpoints ended one after the
// other, under different requests, for whose ends it is the only part that is still suspect:
// answers with the others have gone on since. It reports whether it did. The caller holds
// the lock.
func (t *Tracker) confirm(part uint64, s *suspect) bool {
	if s.final || s.isRequest || !s.quarantined {
		return false
	}
	var alone []*report
	for _, r := range s.reports {
		if r.request != 0 && t.isOnlySuspect(part, r.endpoint) {
			alone = append(alone, r)
		}
	}
	s.final = countRequests(alone) >= minRequests && isProved(alone, mixedEnds)
	return s.final
}

// isOnlySuspect reports whether no other part, and no request that is quarantined, is
// suspect for the end of an endpoint, also of the requests that ran beside. The caller holds
// the lock.
func (t *Tracker) isOnlySuspect(part, endpoint uint64) bool {
	for p, other := range t.suspects {
		if p != part && (!other.isRequest || other.final) && other.holds(endpoint) {
			return false
		}
	}
	return true
}

// confirmAll confirms the quarantines that have become certain, after parts were cleared.
// The caller holds the lock.
func (t *Tracker) confirmAll() {
	for p, s := range t.quarantined {
		if t.confirm(p, s) {
			t.logQuarantine(p, s)
			t.onProof(false)
		}
	}
}

// mustBeAlone reports whether a trial of these parts must run alone among all trials: that
// of a quarantined part, and the last one of a request. The endpoint must not end under
// another one beside it.
func (t *Tracker) mustBeAlone(parts []uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(parts, func(p uint64) bool {
		s := t.suspects[p]
		return s != nil && (s.quarantined || s.isRequest && len(s.reports) >= endsForProof-1)
	})
}
