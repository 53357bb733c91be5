package orders

import "time"

// A failed order is tried again after retryFrom at first, then after twice as
// long each time, up to retryTo. Each try drains the engine, which serves
// nobody meanwhile, so that an order that can't be carried out must cost
// little of its time; one that failed for a passing reason is soon done.
const (
	retryFrom = time.Minute
	retryTo   = 30 * time.Minute
)

// attempts are the failed tries of the newest order.
type attempts struct {
	order string
	pause time.Duration
	until time.Time
}

// failed notes that an order could not be carried out.
func (a *attempts) failed(order string, now time.Time) {
	if a.order != order {
		*a = attempts{order: order}
	}
	a.pause = min(max(2*a.pause, retryFrom), retryTo)
	a.until = now.Add(a.pause)
}

// due reports whether an order may be tried now.
func (a *attempts) due(order string, now time.Time) bool {
	return a.order != order || !now.Before(a.until)
}
