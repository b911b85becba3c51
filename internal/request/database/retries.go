package database

import "sync"

const (
	// depositPerRequest is the amount that each new request adds to the budget,
	// in thousandths of a retry.
	depositPerRequest = 200
	// maxBalance is the initial and the largest balance, in thousandths of a
	// retry.
	maxBalance = 100_000
	// retryCost is the cost of one retry, in thousandths of a retry.
	retryCost = 1000
)

// RetryBudget limits the retries of a group's requests to a fifth of the
// requests, plus the initial balance, so that retries cannot amplify an
// overload. While the budget is empty, a request waits far longer before its
// next try.
type RetryBudget struct {
	mu      sync.Mutex
	balance int
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: maxBalance} }

// Deposit credits one new request to the budget.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+depositPerRequest, maxBalance)
}

// TryWithdraw takes one retry from the budget. It returns false if less than one
// is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}
