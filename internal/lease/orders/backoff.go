package orders

import "time"

// Backoff of an order that failed: the delay starts at minRetryDelay and doubles up
// to maxRetryDelay. Each attempt drains the engine, which serves no requests
// meanwhile, so an order that can never succeed must take little of its time, while
// one that failed temporarily must be retried soon.
const (
	minRetryDelay = time.Minute
	maxRetryDelay = 30 * time.Minute
)

// retryBackoff is the retry state of the newest failed order.
type retryBackoff struct {
	orderID   string
	delay     time.Duration
	notBefore time.Time
}

// recordFailure doubles the delay before the order may be retried.
func (b *retryBackoff) recordFailure(orderID string, now time.Time) {
	if b.orderID != orderID {
		*b = retryBackoff{orderID: orderID}
	}
	b.delay = min(max(2*b.delay, minRetryDelay), maxRetryDelay)
	b.notBefore = now.Add(b.delay)
}

// due reports whether the order may be attempted at the given time.
func (b *retryBackoff) due(orderID string, now time.Time) bool {
	return b.orderID != orderID || !now.Before(b.notBefore)
}
