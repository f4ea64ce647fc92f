package quarantine

import "github.com/apricotspoke/apricotspoke/protocol/monotonic"

// recordSend records the send that a report is of, and sets the report's time to the earliest
// known time of the end. It reports whether a report of the send was known. The caller holds
// the lock.
func (t *Tracker) recordSend(r *report) (known bool) {
	ran := monotonic.Time(r.at.Sub(r.sentAt)) // a duration, kept in a history of times
	// Each relay adds its delay to the time of an end, so the earliest one is the closest.
	r.at = t.ended.putFirst(r.endpoint, r.at)
	// The same request may have been sent to the endpoint twice: the report of the later send
	// counts, whichever is heard first.
	if shortest, known := t.runTimes.get(r.hash()); known && ran.Add(sameSendTolerance) > shortest {
		return true
	}
	t.runTimes.putFirst(r.hash(), ran)
	return false
}

// addToSuspects adds a report to its parts and its request, and updates their quarantines. It
// returns those that hold the report now, the most ends of one of them, and whether a
// quarantine has changed. The caller holds the lock.
func (t *Tracker) addToSuspects(r *report) (blamed []uint64, ends int, changed bool) {
	for _, p := range r.keys() {
		soundAt, wasSound := t.soundAt(p)
		if wasSound && soundAt > r.at {
			continue
		}
		s := t.suspects[p]
		if s == nil {
			s = &suspect{wasSound: wasSound}
			t.suspects[p] = s
		}
		s.isRequest = s.isRequest || p == r.request
		if !s.add(r) {
			continue
		}
		blamed = append(blamed, p)
		ends = max(ends, s.ends())
		if s.updateQuarantine(p) {
			t.logQuarantine(p, s)
			changed = true
		}
	}
	return blamed, ends, changed
}
