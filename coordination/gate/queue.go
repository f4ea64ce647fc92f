package gate

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ageingRate is how many prompt tokens of head start a second of waiting gives.
	ageingRate = 50_000.0
	// skipFor is how long shorter attempts may pass one that does not fit yet.
	skipFor = 2 * time.Second
	// priorityClasses spaces contract priorities so that length ranks within one.
	priorityClasses = 64
)

// waiting is an attempt in the queue.
type waiting struct {
	attempt  *Attempt
	priority int32
	prefill  uint64 // prompt tokens to compute
	since    time.Time
}

// queue holds admitted attempts until the endpoint has room.
type queue struct {
	items []*waiting
}

func (q *queue) add(w *waiting) { q.items = append(q.items, w) }

func (q *queue) remove(a *Attempt) bool {
	before := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(w *waiting) bool { return w.attempt == a })
	return len(q.items) < before
}

// rank orders by priority, then by prompt length less the head start of age.
func (w *waiting) rank(now time.Time) float64 {
	return float64(w.prefill) - ageingRate*now.Sub(w.since).Seconds()
}

// next takes out the first attempt that fits. One that has waited long without
// fitting holds back those behind it, so that it is not starved.
func (q *queue) next(now time.Time, fits func(*Attempt) bool) *Attempt {
	slices.SortStableFunc(q.items, func(a, b *waiting) int {
		return cmp.Or(-cmp.Compare(a.priority, b.priority), cmp.Compare(a.rank(now), b.rank(now)))
	})
	for _, w := range q.items {
		if fits(w.attempt) {
			q.remove(w.attempt)
			return w.attempt
		}
		if now.Sub(w.since) > skipFor {
			return nil
		}
	}
	return nil
}

// ahead sums the prompt tokens that go before a new attempt.
func (q *queue) ahead(priority int32, prefill uint64) uint64 {
	var sum uint64
	for _, w := range q.items {
		if w.priority > priority || (w.priority == priority && w.prefill <= prefill) {
			sum += w.prefill
		}
	}
	return sum
}
