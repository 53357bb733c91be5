package policy

import "time"

const (
	// retryShare is how many retries one fresh request earns. When every
	// engine fails, load grows by a tenth and not by a factor.
	retryShare = 0.1
	// retryReserve bounds what is saved up: ten retries, so that the crash
	// of one engine with a full batch is made good at once, and no quiet day
	// pays for a storm.
	retryReserve = 10
	// retryTrickle is retries per second that are earned without traffic. A
	// service with a request a minute still gets its retry.
	retryTrickle = 0.2
)

// RetryBudget allows retries as a share of fresh traffic.
//
// It answers engines that fail while load is high: without it each failure
// brings a retry and the retries fail too, until they are most of the load.
// Work that may have run and may not be repeated is no matter of the budget;
// it is never retried. Not safe for concurrent use.
type RetryBudget struct {
	balance float64
	last    time.Time
}

// NewRetryBudget returns a RetryBudget with a full balance.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{balance: retryReserve}
}

// Fresh counts a request that is not a retry.
func (b *RetryBudget) Fresh(now time.Time) {
	b.advance(now)
	b.earn(retryShare)
}

// Allow reports whether a retry may be made now, and counts it.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.advance(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *RetryBudget) advance(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.earn(retryTrickle * now.Sub(b.last).Seconds())
	}
	b.last = now
}

func (b *RetryBudget) earn(n float64) {
	b.balance = min(retryReserve, b.balance+n)
}
