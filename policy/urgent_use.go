package policy

import (
	"math"
	"time"
)

// urgentDeviations is how many mean absolute deviations above the mean are reserved. With two,
// about one moment in twenty needs more than that.
const urgentSpreads = 2

// urgentUsage tracks the mean and the mean absolute deviation of the number of slots that the
// urgent tiers use, over the last demandWindow.
type urgentUse struct {
	mean   float64
	spread float64
	now    int
	last   time.Time
}

// advance accounts for the time since the last call, then sets the current usage.
func (u *urgentUse) advance(now time.Time, slots int) {
	if !u.last.IsZero() && now.After(u.last) {
		weight := newestWeight(now.Sub(u.last))
		diff := float64(u.now) - u.mean
		u.mean += weight * diff
		u.spread += weight * (math.Abs(diff) - u.spread)
	}
	u.last = now
	u.now = slots
}

// reserved returns how many slots to keep free for the urgent tiers.
func (u *urgentUse) slots() int {
	return int(u.mean + urgentSpreads*u.spread)
}
