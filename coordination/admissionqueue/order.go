package admissionqueue

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// rank holds the sort keys of a request, the most significant first.
type rank struct {
	begun    bool
	owed     bool // its priority or organisation is owed a request
	priority catalogue.Priority
	overdue  bool
	timeLeft int     // logarithmic: one step more for twice the time
	cost     float64 // of the organisation's recent requests
	due      time.Time
	number   uint64
}

func (r *rank) compare(other *rank) int {
	return cmp.Or(
		trueFirst(r.begun, other.begun),
		trueFirst(r.owed, other.owed),
		r.priority.Compare(other.priority),
		trueFirst(other.overdue, r.overdue),
		cmp.Compare(r.timeLeft, other.timeLeft),
		cmp.Compare(r.cost, other.cost),
		r.due.Compare(other.due),
		cmp.Compare(r.number, other.number),
	)
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// rankOf returns the rank of a request as if none were owed.
func (q *Queue) rankOf(w *Waiter, now time.Time) rank {
	left := max(0, w.Due.Sub(now))
	return rank{
		begun:    w.Begun,
		priority: w.Priority,
		overdue:  w.isDeferred(now),
		timeLeft: bits.Len64(uint64(left.Milliseconds())),
		cost:     q.usage.cost(w.Organisation, now),
		due:      w.Due,
		number:   w.number,
	}
}

// order returns the waiting requests in their order.
func (q *Queue) order(now time.Time) []*Waiter {
	if q.sorted && q.sortedAt.Equal(now) {
		return q.waiting
	}
	for _, w := range q.waiting {
		w.rank = q.rankOf(w, now)
	}
	q.sort()
	if q.markOwed(now) {
		q.sort()
	}
	q.setDelays(now)
	q.sorted, q.sortedAt = true, now
	return q.waiting
}

func (q *Queue) sort() {
	slices.SortFunc(q.waiting, func(a, b *Waiter) int { return a.rank.compare(&b.rank) })
}

// markOwed marks the first request of each priority and organisation that is owed one. It
// reports whether there is any. Overdue requests are not marked: served late, they would
// take the place of one that can be on time.
func (q *Queue) markOwed(now time.Time) (found bool) {
	floorRatio := q.usage.startPass(now)
	for _, w := range q.waiting {
		if w.rank.begun || w.rank.overdue {
			continue
		}
		if q.usage.takeOwed(w, floorRatio, now) {
			w.rank.owed, found = true, true
		}
	}
	return found
}
