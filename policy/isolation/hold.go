package isolation

import (
	"time"

	"github.com/applepier/applepier/policy"
)

const (
	// holdStreamTimes is for how many mean stream times a server keeps its budget after it has
	// left the reservation: streams still run there.
	holdStreamTimes = 2
	// maxHold bounds that time, in case the mean stream time is absurd.
	maxHold = 2 * time.Minute
)

// hold is the budget of a server that was or is reserved.
type hold struct {
	budget float64
	// until is the end of the hold as of the last decision in which the server was reserved.
	until time.Time
}

// holds has the budgets of servers that are or were reserved recently. Expired entries are
// removed, so its size is bounded by the number of servers.
type holds map[policy.Key]hold

// holdTime returns for how long servers keep their budget after they have left.
func holdTime(streamTime time.Duration) time.Duration {
	return min(max(streamTime, 0), maxHold/holdStreamTimes) * holdStreamTimes
}

// renew begins the hold of a reserved server anew.
func (h holds) renew(key policy.Key, budget float64, until time.Time) { h[key] = hold{budget, until} }

// expire removes the entries whose time has ended.
func (h holds) expire(now time.Time) {
	for key, held := range h {
		if !now.Before(held.until) {
			delete(h, key)
		}
	}
}
