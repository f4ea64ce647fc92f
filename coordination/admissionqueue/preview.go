package admissionqueue

import (
	"slices"
	"time"
)

// Preview returns the place that an arrival would have in the order, 1 for the first, and
// whether it would be tried now if no request ahead of it fits. It changes nothing.
func (q *Queue) Preview(w Waiter, now time.Time, workEnds uint64) (place int, tried bool) {
	c := q.clone()
	c.Join(&w, now)
	place = 1 + slices.Index(c.order(now), &w)
	for next := c.Next(now, workEnds); next != nil; next = c.Next(now, workEnds) {
		if next == &w {
			return place, true
		}
		c.DidNotFit(next, now, workEnds)
	}
	return place, false
}

func (q *Queue) clone() *Queue {
	c := *q
	c.waiting = make([]*Waiter, len(q.waiting))
	for i, w := range q.waiting {
		copied := *w
		c.waiting[i] = &copied
	}
	c.usage.priorities = cloneSums(q.usage.priorities)
	c.usage.organisations = cloneSums(q.usage.organisations)
	c.stagger.recent = slices.Clone(q.stagger.recent)
	return &c
}

func cloneSums[K comparable](original map[K]*sums) map[K]*sums {
	copies := make(map[K]*sums, len(original))
	for key, s := range original {
		copied := *s
		copies[key] = &copied
	}
	return copies
}
