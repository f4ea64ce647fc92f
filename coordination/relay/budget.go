package relay

import "sync"

const (
	budgetRatio = 0.1  // retries earned per request
	budgetMost  = 20.0 // retries saved up at most
)

// Budget bounds the retries of an entry to a share of its requests, so that a
// failing endpoint does not multiply load.
type Budget struct {
	mu   sync.Mutex
	left float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{left: budgetMost} }

// Request earns for one request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(budgetMost, b.left+budgetRatio)
}

// Retry takes one retry, or reports that none is left.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
