package admissionqueue

import (
	"slices"
	"time"
)

// Preview returns the place that an arrival would have in the order, 1 for the first, and
// whether it would be tried now if no request ahead of it fits. It changes nothing.
func (q *Queue) Preview(e Entry, now time.Time, change uint64) (place int, tried bool) {
	c := q.clone()
	c.Join(&e, now)
	place = 1 + slices.Index(c.order(now), &e)
	for next := c.Next(now, change); next != nil; next = c.Next(now, change) {
		if next == &e {
			return place, true
		}
		c.DidNotFit(next, now, change)
	}
	return place, false
}

func (q *Queue) clone() *Queue {
	c := *q
	c.waiting = make([]*Entry, len(q.waiting))
	for i, e := range q.waiting {
		copied := *e
		c.waiting[i] = &copied
	}
	c.usage.groups = make(map[group]*sums, len(q.usage.groups))
	for g, s := range q.usage.groups {
		copied := *s
		c.usage.groups[g] = &copied
	}
	c.stagger.recent = slices.Clone(q.stagger.recent)
	return &c
}
