package gate

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ageingTokensPerSecond is how many prompt tokens the rank of a queued
	// attempt falls by in each second. Lower ranks go first, so that long
	// prompts are not starved.
	ageingTokensPerSecond = 50_000.0
	// maxOvertakeTime is how long other attempts may freely overtake one that
	// does not fit into memory.
	maxOvertakeTime = 2 * time.Second
	// lengthRanksPerPriority is the number of engine priorities for each
	// contract priority: one for each bit length of the number of prompt
	// tokens.
	lengthRanksPerPriority = 64
)

// queuedAttempt is an attempt in the queue.
type queuedAttempt struct {
	attempt       *Attempt
	priority      int32
	prefillTokens uint64 // prompt tokens to prefill
	queuedAt      time.Time
}

// queue holds admitted attempts until the endpoint has capacity.
type queue struct {
	items []*queuedAttempt
}

func (q *queue) add(w *queuedAttempt) { q.items = append(q.items, w) }

func (q *queue) remove(a *Attempt) bool {
	before := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(w *queuedAttempt) bool { return w.attempt == a })
	return len(q.items) < before
}

// rank returns the order within one priority: prompt tokens less the ageing of
// the attempt. Lower ranks go first.
func (w *queuedAttempt) rank(now time.Time) float64 {
	return float64(w.prefillTokens) - ageingTokensPerSecond*now.Sub(w.queuedAt).Seconds()
}

// takeNext removes and returns the first attempt that fits, or nil. Once an
// attempt has waited longer than maxOvertakeTime without fitting, only attempts
// that may overtake it are returned, so that it is not starved.
func (q *queue) takeNext(now time.Time, fits func(*Attempt) bool, mayOvertake func(blocked, a *Attempt) bool) *Attempt {
	slices.SortStableFunc(q.items, func(a, b *queuedAttempt) int {
		return cmp.Or(-cmp.Compare(a.priority, b.priority), cmp.Compare(a.rank(now), b.rank(now)))
	})
	var blocked *Attempt
	for _, w := range q.items {
		if blocked != nil && !mayOvertake(blocked, w.attempt) {
			continue
		}
		if fits(w.attempt) {
			q.remove(w.attempt)
			w.attempt.overtook = blocked != nil
			return w.attempt
		}
		if blocked == nil && now.Sub(w.queuedAt) > maxOvertakeTime {
			blocked = w.attempt
		}
	}
	return nil
}

// prefillTokensAhead sums the prompt tokens of the queued attempts that go
// before a new attempt with the given priority and prompt length.
func (q *queue) prefillTokensAhead(priority int32, promptTokens uint64) uint64 {
	var sum uint64
	for _, w := range q.items {
		if w.priority > priority || (w.priority == priority && w.prefillTokens <= promptTokens) {
			sum += w.prefillTokens
		}
	}
	return sum
}
