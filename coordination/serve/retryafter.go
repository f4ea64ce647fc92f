package serve

import (
	"sync"
	"time"
)

// retrySchedule spreads the retries of refused callers over time. When a burst is
// refused at once and all callers get the same Retry-After, they retry together
// and are refused again.
type retrySchedule struct {
	mu     sync.Mutex
	nextAt time.Time // the earliest time to assign to the next caller
}

// assign returns the time at which a caller is to retry: gap after the previous
// caller's, but not before earliest and not after latest.
func (r *retrySchedule) assign(earliest, latest time.Time, gap time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := earliest
	if r.nextAt.After(at) {
		at = r.nextAt
	}
	if at.After(latest) {
		return latest // a caller that can't wait for its turn leaves the schedule unchanged
	}
	r.nextAt = at.Add(gap)
	return at
}
