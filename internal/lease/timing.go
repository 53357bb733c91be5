package lease

import "time"

// Timing is how long a lease holds, and how often what is done about it.
type Timing struct {
	// Duration is how long a write of the row holds.
	Duration time.Duration
	// Margin is how long before the end of Duration a holder stops.
	Margin time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Campaign is the mean time between tries to get the lease.
	Campaign time.Duration
	// Rest is for how long a holder that was deposed leaves the lease to others; zero for
	// not at all.
	Rest time.Duration
}

// usual is the timing of leases under which work may pause for half a minute.
func usual() Timing {
	return Timing{Duration: Duration, Margin: Margin, Renew: RenewInterval, Campaign: campaignInterval}
}

// challengeMargin is a tenth of Duration, for clocks of different rate.
func (t Timing) challengeMargin() time.Duration { return t.Duration / 10 }
