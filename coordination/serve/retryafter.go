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
	at := r.earliestFrom(earliest)
	if at.After(latest) {
		return latest // a caller that can't wait for its turn leaves the schedule unchanged
	}
	r.nextAt = at.Add(gap)
	return at
}

// next returns the time that assign would assign, and assigns none.
func (r *retrySchedule) next(earliest, latest time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return earlier(r.earliestFrom(earliest), latest)
}

// earliestFrom returns the turn of the next caller, for a caller that holds the lock.
func (r *retrySchedule) earliestFrom(earliest time.Time) time.Time {
	if r.nextAt.After(earliest) {
		return r.nextAt
	}
	return earliest
}
