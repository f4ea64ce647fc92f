package relay

import "sync"

const (
	budgetRatio = 0.1  // retries earned per request
	budgetMax   = 20.0 // retries that can be saved up
)

// RetryBudget limits the retries of an entry to a fraction of its requests, so
// that a failing endpoint does not multiply the load.
type RetryBudget struct {
	mu      sync.Mutex
	balance float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: budgetMax} }

// Deposit adds what one request earns.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(budgetMax, b.balance+budgetRatio)
}

// TryWithdraw takes one retry from the budget. It returns false if the budget
// is used up.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
