package database

import "sync"

const (
	// retriesPerRequest is what each new request adds to the budget, in
	// thousandths of a retry.
	retriesPerRequest = 200
	// maxRetries bounds the budget, in thousandths, and is what it starts with.
	maxRetries = 100_000
	oneRetry   = 1000
)

// RetryBudget bounds the retries of a group's requests to a fifth of the
// requests, so that retries cannot multiply an overload. A request without a
// retry left waits far longer before it is tried again.
type RetryBudget struct {
	mu   sync.Mutex
	left int
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{left: maxRetries} }

// Deposit adds what one new request is worth.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+retriesPerRequest, maxRetries)
}

// TryWithdraw takes one retry. It returns false if none is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < oneRetry {
		return false
	}
	b.left -= oneRetry
	return true
}
