package policy

import (
	"math"
	"time"
)

// urgentSpreads is how many mean deviations above the mean are kept back: with
// two, about one moment in twenty needs more than that.
const urgentSpreads = 2

// urgentUse measures how many slots the urgent tiers use, with its spread,
// over the last demandMemory.
type urgentUse struct {
	mean   float64
	spread float64
	now    int
	last   time.Time
}

// advance accounts for the time since the last call.
func (u *urgentUse) advance(now time.Time, use int) {
	if !u.last.IsZero() && now.After(u.last) {
		weight := newestWeight(now.Sub(u.last))
		off := float64(u.now) - u.mean
		u.mean += weight * off
		u.spread += weight * (math.Abs(off) - u.spread)
	}
	u.last = now
	u.now = use
}

// slots is how many slots the urgent tiers are to find.
func (u *urgentUse) slots() int {
	return int(u.mean + urgentSpreads*u.spread)
}
