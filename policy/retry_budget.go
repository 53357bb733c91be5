package policy

import "time"

// RetryBudget allows retries as a share of fresh traffic. Not safe for
// concurrent use.
type RetryBudget struct{ balance float64 }

// NewRetryBudget returns a RetryBudget with a full balance.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: 10} }

// Fresh counts a request that is not a retry.
func (b *RetryBudget) Fresh(now time.Time) { b.balance = min(10, b.balance+0.1) }

// Allow reports whether a retry may be made now, and counts it.
func (b *RetryBudget) Allow(now time.Time) bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
