package admissionqueue

import "time"

// idle is a time in which no request is due unless work ends or the requests change. Each
// waiting request starts rounds, and most rounds in that time need not sort the requests.
type idle struct {
	until    time.Time // zero if not known
	workEnds uint64    // at the last round
}

func (i *idle) holds(now time.Time, workEnds uint64) bool {
	return workEnds == i.workEnds && now.Before(i.until)
}

// nextDue returns a time before which no waiting request becomes due unless work ends, for a
// queue in which none is due now. It is at most TryInterval from now, as the floor and recent
// arrivals may change the delays after that.
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

// earliest returns the earliest of first and those of the others that are after now.
func earliest(now, first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.After(now) && t.Before(first) {
			first = t
		}
	}
	return first
}
