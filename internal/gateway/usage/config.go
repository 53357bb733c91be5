package usage

import (
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/storage"
)

const (
	// renewDivisor, campaignDivisor and marginDivisor set the lease's renew interval, campaign
	// interval and safety margin as fractions of its duration. Renewing every third of the duration
	// leaves a holder two more attempts after a failed renewal.
	renewDivisor    = 3
	campaignDivisor = 4
	marginDivisor   = 5
	// leaseDurationFraction is the lease's duration as a fraction of LeaseTime. A successor waits
	// for the lease to expire, so two changes of holder take longer than LeaseTime.
	leaseDurationFraction = 0.7
	// backoffFactor is the time, in units of LeaseTime, for which a superseded holder and a process
	// that has just started don't campaign, so that holders never act in the order A, B, A within
	// one LeaseTime.
	backoffFactor = 1.5
)

// Config holds the settings and dependencies of a Reporter.
type Config struct {
	// Name is the VM's name, and BootID identifies this instance of the gateway.
	Name   string
	BootID uint64
	// Windows are the windows to report, each within Delay after its end.
	Windows Windows
	Delay   time.Duration
	// LeaseTime is the time within which the lease must not change from one holder to another and
	// back. The lease's own duration is leaseDurationFraction of it.
	LeaseTime time.Duration
	Table     storage.Table
	Platform  Platform
	// Now returns the gateways' common time of day, which a wrong clock of this VM doesn't change.
	Now func() time.Time
	// Peers provides the state of the other gateways.
	Peers Peers
	// Eligible reports whether this gateway may hold the lease: the store responds to it and it
	// isn't shutting down.
	Eligible func() bool
	// Observer receives the outcome of each attempt to send a report.
	Observer Observer
	Log      *zap.Logger
}

// Peers provides what the other gateways have announced to this one.
type Peers interface {
	// HasUsageReporter reports whether a live peer holds the lease.
	HasUsageReporter() bool
	// PrecedingPeers returns the number of peers that precede this gateway as candidates for the
	// lease.
	PrecedingPeers() int
}

// Observer counts the outcomes of reports.
type Observer interface {
	// ReportAccepted counts a report that the platform accepted at the given time after the end of
	// its window. It is late if that time exceeds Config.Delay.
	ReportAccepted(after time.Duration, late bool)
	// ReportFailed counts an attempt to send a report that was not accepted.
	ReportFailed(err error)
}

// leaseTiming returns the timing of the lease.
func (c *Config) leaseTiming() lease.Timing {
	duration := time.Duration(leaseDurationFraction * float64(c.LeaseTime))
	return lease.Timing{
		Duration: duration, SafetyMargin: duration / marginDivisor, RenewInterval: duration / renewDivisor, CampaignInterval: duration / campaignDivisor,
		SupersededBackoff: time.Duration(backoffFactor * float64(c.LeaseTime)),
	}
}
