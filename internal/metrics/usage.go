package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// UsageReports counts the usage reports that this process sent. It implements
// usage.Observer.
type UsageReports struct {
	accepted gometrics.Counter
	late     gometrics.Counter
	failed   gometrics.Counter
	delay    gometrics.Gauge
}

// UsageReports returns the counters of usage reports.
func (m *Metrics) UsageReports() *UsageReports {
	return &UsageReports{
		accepted: counter(m.registry, familyUsageAccepted), late: counter(m.registry, familyUsageLate),
		failed: counter(m.registry, familyUsageFailed), delay: gauge(m.registry, familyUsageDelay),
	}
}

// ReportAccepted implements usage.Observer.
func (u *UsageReports) ReportAccepted(after time.Duration, late bool) {
	u.accepted.Inc(1)
	u.delay.Update(after.Milliseconds())
	if late {
		u.late.Inc(1)
	}
}

// ReportFailed implements usage.Observer.
func (u *UsageReports) ReportFailed(error) { u.failed.Inc(1) }
