package lease

import "time"

// Timing holds the durations and intervals of a lease.
type Timing struct {
	// Duration is how long the lease is valid after a write of its row.
	Duration time.Duration
	// SafetyMargin is how long before the end of Duration a holder stops.
	SafetyMargin time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// CampaignInterval is the mean time between attempts to acquire the lease.
	CampaignInterval time.Duration
	// SupersededBackoff is how long a superseded holder waits before it tries to
	// acquire the lease again; zero means no wait.
	SupersededBackoff time.Duration
}

// defaultTiming returns the timing for leases under which work may be interrupted
// for half a minute.
func defaultTiming() Timing {
	return Timing{Duration: DefaultDuration, SafetyMargin: DefaultSafetyMargin, RenewInterval: DefaultRenewInterval, CampaignInterval: defaultCampaignInterval}
}

// clockDriftMargin is a tenth of Duration, to allow for clocks that run at
// different rates.
func (t Timing) clockDriftMargin() time.Duration { return t.Duration / 10 }
