package admissionqueue

import "time"

// idle says until when no request is to be tried, as none is due before that unless the
// requests or the state change. Each waiting request plays rounds, so most find nothing to
// do, and needn't sort the requests to know it.
type idle struct {
	until  time.Time // zero if not known
	change uint64    // the one that the last round saw
}

func (i *idle) holds(now time.Time, change uint64) bool {
	return change == i.change && now.Before(i.until)
}

// nextDue returns a time before which none of the waiting requests, which are not due now,
// becomes due on the same state, at most TryInterval from now. Later, the floor and the
// recent arrivals may have changed the delays.
func (q *Queue) nextDue(now time.Time) time.Time {
	next := now.Add(TryInterval)
	for _, w := range q.waiting {
		next = earliest(now, next, w.Due.Add(1)) // when it becomes overdue
		if w.triedAt.IsZero() {
			next = earliest(now, next, q.stagger.scarceUntil, w.Joined.Add(w.delay))
		} else {
			next = earliest(now, next, w.triedAt.Add(TryInterval), w.triedAt.Add(PollInterval))
		}
		for _, end := range q.stagger.recent {
			next = earliest(now, next, end.at.Add(w.delay))
		}
	}
	return next
}

// earliest returns the earliest of the times, of the others only if it is after now.
func earliest(now, first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.After(now) && t.Before(first) {
			first = t
		}
	}
	return first
}
