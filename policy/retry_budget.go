package policy

import "time"

const (
	// retryRatio is how many retries each new request earns. If every engine fails, load grows
	// by a tenth instead of multiplying.
	retryRatio = 0.1
	// maxRetryBalance bounds the saved retries. With ten, the requests of one crashed engine
	// with a full batch are retried at once, and retries saved during a quiet day can't add up
	// to a retry storm.
	maxRetryBalance = 10
	// idleRetryRate is how many retries are earned per second without traffic, so that a
	// service with one request a minute still gets its retry.
	idleRetryRate = 0.2
)

// RetryBudget is a token bucket that allows retries as a share of new requests.
//
// It guards against retry storms: when engines fail under high load, each failure causes a
// retry, and the retries fail too, until they are most of the load. The budget doesn't cover
// work that may have run and isn't safe to repeat; that is never retried. Not safe for
// concurrent use.
type RetryBudget struct {
	balance float64
	updated time.Time
}

// NewRetryBudget returns a RetryBudget with a full balance.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{balance: maxRetryBalance}
}

// CountRequest counts a request that is not a retry.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.advance(now)
	b.credit(retryRatio)
}

// Allow reports whether a retry may be made now, and if so spends it.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.advance(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *RetryBudget) advance(now time.Time) {
	if !b.updated.IsZero() && now.After(b.updated) {
		b.credit(idleRetryRate * now.Sub(b.updated).Seconds())
	}
	b.updated = now
}

func (b *RetryBudget) credit(retries float64) {
	b.balance = min(maxRetryBalance, b.balance+retries)
}
