package placement

import "time"

const (
	doubtFirst = 250 * time.Millisecond // an endpoint rests so long after one failure
	doubtMost  = 4 * time.Second
	fullRest   = 60 * time.Millisecond // after a refusal as full
)

// health is what this entry has seen of an endpoint itself.
type health struct {
	failures  int // in a row
	restUntil time.Time
	successAt time.Time
}

// Failed notes that an endpoint broke a request off, answered garbage or not at
// all. It rests twice as long after each failure in a row.
func (b *Book) Failed(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.account(key).health
	rest := min(doubtFirst<<min(h.failures, 8), doubtMost)
	h.failures++
	h.restUntil = b.now().Add(rest)
}

// Refused notes that an endpoint said it was full.
func (b *Book) Refused(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.account(key).health
	h.restUntil = later(h.restUntil, b.now().Add(fullRest))
}

// Succeeded notes a good answer.
func (b *Book) Succeeded(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.account(key).health
	h.failures = 0
	h.successAt = b.now()
}
