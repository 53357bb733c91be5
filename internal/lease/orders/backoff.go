package orders

import "time"

// The delay before a failed order is retried starts at minRetryDelay and doubles up to
// maxRetryDelay. The engine is drained for each attempt and serves no requests
// meanwhile. An order that failed temporarily must be retried soon, but one that can
// never succeed must not keep the engine from serving.
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
