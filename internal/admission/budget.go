package admission

import "sync"

// RetryBudget limits retries to a share of first attempts, so that retries cannot multiply an overload.
type RetryBudget struct {
	mu      sync.Mutex
	share   float64
	maximum float64
	tokens  float64
}

// NewRetryBudget returns a full budget. Each first attempt adds share retries to it, up to maximum.
func NewRetryBudget(share, maximum float64) *RetryBudget {
	return &RetryBudget{share: share, maximum: maximum, tokens: maximum}
}

// FirstAttempt adds a first attempt's share to the budget.
func (budget *RetryBudget) FirstAttempt() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens = min(budget.maximum, budget.tokens+budget.share)
}

// Retry takes one retry from the budget, and returns false if the budget is exhausted.
func (budget *RetryBudget) Retry() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
