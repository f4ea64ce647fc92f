package quarantine

import (
	"slices"
	"time"
)

// minRequests is the number of different requests under which endpoints must end before the
// quarantine of a part is confirmed without probes: of one request, the request itself may
// be the cause.
const minRequests = 2

// companionWait is the time after the end of an endpoint under a probe for which no other probe
// of the part is sent while the probe's other parts are suspects: answers that go on with them
// make the end count against the part alone.
const companionWait = time.Second

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

// wasAlone reports whether a report is of a probe, and an answer is known to have gone on with
// each part of its prompt but the probed one. The caller holds the lock.
func (t *Tracker) wasAlone(r *report) bool {
	if r.probed == 0 {
		return false
	}
	for _, p := range r.parts {
		if _, known := t.sound.get(p); p != r.probed && !known {
			return false
		}
	}
	return true
}

// judgeProbes judges a part again if answers went on with the other parts of its probes after
// the probes had ended endpoints. It reports whether that has changed its quarantine. The
// caller holds the lock.
func (t *Tracker) judgeProbes(part uint64, s *suspect) bool {
	changed := false
	for _, r := range s.reports {
		if r.probed == part && !r.alone && t.wasAlone(r) {
			r.alone, changed = true, true
		}
	}
	return changed && s.judge(part)
}

// awaitsCompanions reports whether the latest probe of one of the parts is still to be judged by
// the answers with its other parts.
func (t *Tracker) awaitsCompanions(parts []uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	return slices.ContainsFunc(parts, func(p uint64) bool {
		s := t.suspects[p]
		return s != nil && s.quarantined && slices.ContainsFunc(s.reports, func(r *report) bool {
			return r.probed == p && !r.alone && now.Sub(r.at) < companionWait
		})
	})
}

// confirmAll confirms the quarantines that have become certain, after parts were cleared.
// The caller holds the lock.
func (t *Tracker) confirmAll() {
	for p, s := range t.quarantined {
		if t.judgeProbes(p, s) || t.confirm(p, s) {
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
