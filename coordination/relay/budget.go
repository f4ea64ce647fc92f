package relay

import "sync"

const (
	budgetRatio = 0.1  // retries earned per request
	budgetMost  = 20.0 // retries saved up at most
)

// RetryBudget bounds the retries of an entry to a share of its requests, so that a
// failing endpoint does not multiply load.
type RetryBudget struct {
	mu   sync.Mutex
	left float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{left: budgetMost} }

// Deposit earns for one request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(budgetMost, b.left+budgetRatio)
}

// TryWithdraw takes one retry, or reports that none is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
