package usage

import (
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/storage"
)

const (
	// renewFraction, campaignFraction, marginFraction and backoffFactor are of how long the lease holds: a
	// holder has two more tries after a renewal that failed.
	renewDivisor    = 3
	campaignDivisor = 4
	marginDivisor   = 5
	// durationFraction is the part of LeaseTime for which a write of the lease holds: a successor
	// waits for its end, and two changes of holder take longer than LeaseTime.
	leaseDurationFraction = 0.7
	// backoffFactor is for how many LeaseTimes a holder that was deposed leaves the duty to
	// others, so that holders never act in the order A, B, A within one.
	backoffFactor = 1.5
)

// Config is what a Reporter needs.
type Config struct {
	// Name is the VM's, Start the process's.
	Name  string
	Start uint64
	// Windows are those that are reported, within Delay after their end.
	Windows Windows
	Delay   time.Duration
	// LeaseTime is within what time two holders may not act by turns.
	LeaseTime time.Duration
	Table     storage.Table
	Platform  Platform
	// Now is true time.
	Now func() time.Time
	// Others is what its peers have sent.
	Others Others
	// Able says whether this gateway may take the duty: the store answers it, and it
	// isn't leaving.
	Able func() bool
	// Observer counts what becomes of reports.
	Observer Observer
	Log      *zap.Logger
}

// Others is what a Reporter knows of its peers.
type Others interface {
	// Reporting says whether a live peer holds the duty.
	Reporting() bool
	// Before counts those that come before this one as candidates for the duty.
	Before() int
}

// Observer counts what becomes of reports.
type Observer interface {
	// Reported counts a report that the platform accepted, some time after its window's end.
	Reported(after time.Duration, late bool)
	// Refused counts a report that was not accepted.
	Refused(err error)
}

// timing is the lease's.
func (c *Config) leaseTiming() lease.Timing {
	duration := time.Duration(leaseDurationFraction * float64(c.LeaseTime))
	return lease.Timing{
		Duration: duration, Margin: duration / marginDivisor, Renew: duration / renewDivisor, Campaign: duration / campaignDivisor,
		Rest: time.Duration(backoffFactor * float64(c.LeaseTime)),
	}
}
