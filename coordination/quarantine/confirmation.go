package quarantine

import (
	"slices"
	"time"
)

// minRequests is the number of different requests under which endpoints must end before the
// quarantine of a part is confirmed without probes. With one, the request itself may be the
// cause.
const minRequests = 2

// otherPartsWait is how long after an endpoint ended under a probe no other probe of the part is
// sent while the probe's other parts are not known to be sound. If answers go on with them in
// that time, the end counts against the probed part alone, and may make the next probe
// unnecessary.
const otherPartsWait = time.Second

// confirm makes the quarantine of a part final if enough endpoints ended one after the other,
// under different requests, and it is the only part still suspect for these ends, as answers
// have gone on with the others since. It reports whether it did. The caller holds the lock.
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

// isOnlySuspect reports whether no other part, and no quarantined request, is suspect for the
// end of an endpoint. That includes the parts of requests that ran there at the same time. The
// caller holds the lock.
func (t *Tracker) isOnlySuspect(part, endpoint uint64) bool {
	for p, other := range t.suspects {
		if p != part && (!other.isRequest || other.final) && other.holds(endpoint) {
			return false
		}
	}
	return true
}

// otherPartsAreSound reports whether a report is of a probe, and an answer is known to have gone
// on with each part of its prompt but the probed one. The caller holds the lock.
func (t *Tracker) otherPartsAreSound(r *report) bool {
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

// updateProbes updates the quarantine of a part if the other parts of one of its probes have
// become known to be sound since the probe ended an endpoint. It reports whether the quarantine
// has changed. The caller holds the lock.
func (t *Tracker) updateProbes(part uint64, s *suspect) bool {
	changed := false
	for _, r := range s.reports {
		if r.probed == part && !r.alone && t.otherPartsAreSound(r) {
			r.alone, changed = true, true
		}
	}
	return changed && s.updateQuarantine(part)
}

// awaitsOtherParts reports whether a probe of one of the parts ended an endpoint within
// otherPartsWait and its other parts are not yet known to be sound.
func (t *Tracker) awaitsOtherParts(parts []uint64) bool {
	now := t.now()
	return t.anySuspect(parts, func(part uint64, s *suspect) bool {
		return s.quarantined && slices.ContainsFunc(s.reports, func(r *report) bool {
			return r.probed == part && !r.alone && now.Sub(r.at) < otherPartsWait
		})
	})
}

// anySuspect reports whether a condition holds for one of the parts that are suspects.
func (t *Tracker) anySuspect(parts []uint64, condition func(part uint64, s *suspect) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(parts, func(p uint64) bool {
		s := t.suspects[p]
		return s != nil && condition(p, s)
	})
}

// confirmAll confirms the quarantines that have become certain, after parts were cleared.
// The caller holds the lock.
func (t *Tracker) confirmAll() {
	for p, s := range t.quarantined {
		if t.updateProbes(p, s) || t.confirm(p, s) {
			t.logQuarantine(p, s)
			t.onProof(false)
		}
	}
}

// mustBeAlone reports whether a trial of these parts must run alone among all trials, so that
// the endpoint can't end under another one at the same time. That holds for a quarantined part,
// and for the last trial of a request before its quarantine.
func (t *Tracker) mustBeAlone(parts []uint64) bool {
	return t.anySuspect(parts, func(_ uint64, s *suspect) bool {
		return s.quarantined || s.isRequest && len(s.reports) >= endsForProof-1
	})
}
