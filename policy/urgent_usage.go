package policy

import (
	"math"
	"time"
)

// urgentDeviations is how many mean absolute deviations above the mean are reserved. With two,
// about one moment in twenty needs more than that.
const urgentDeviations = 2

// urgentUsage tracks the mean and the mean absolute deviation of the number of slots that the
// urgent tiers use, over the last demandWindow.
type urgentUsage struct {
	mean      float64
	deviation float64
	current   int
	updated   time.Time
}

// advance accounts for the time since the last call, then sets the current usage.
func (u *urgentUsage) advance(now time.Time, slots int) {
	if !u.updated.IsZero() && now.After(u.updated) {
		weight := windowWeight(now.Sub(u.updated))
		diff := float64(u.current) - u.mean
		u.mean += weight * diff
		u.deviation += weight * (math.Abs(diff) - u.deviation)
	}
	u.updated = now
	u.current = slots
}

// reserved returns the number of slots to reserve for the urgent tiers.
func (u *urgentUsage) reserved() int {
	return int(u.mean + urgentDeviations*u.deviation)
}
