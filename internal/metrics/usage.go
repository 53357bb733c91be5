package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Usage counts the reports of usage that this process made. It implements usage.Observer.
type Usage struct {
	reported gometrics.Counter
	late     gometrics.Counter
	refused  gometrics.Counter
	after    gometrics.Gauge
}

// Usage returns what counts reports of usage.
func (m *Metrics) Usage() *Usage {
	return &Usage{
		reported: counter(m.registry, familyUsageReported), late: counter(m.registry, familyUsageLate),
		refused: counter(m.registry, familyUsageRefused), after: gauge(m.registry, familyUsageAfter),
	}
}

// Reported implements usage.Observer.
func (u *Usage) Reported(after time.Duration, late bool) {
	u.reported.Inc(1)
	u.after.Update(after.Milliseconds())
	if late {
		u.late.Inc(1)
	}
}

// Refused implements usage.Observer.
func (u *Usage) Refused(error) { u.refused.Inc(1) }
