package entry

import (
	"time"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/targets"
)

// metricsObserver updates the request metrics; it implements api.Observer.
type metricsObserver struct{ metrics *metrics.Metrics }

// RequestReceived counts an accepted request.
func (o metricsObserver) RequestReceived(class string) { o.metrics.Request(class).Received() }

// RequestRefused counts a request that was refused before it was accepted. It counts as
// received, too.
func (o metricsObserver) RequestRefused(class, reason string) {
	m := o.metrics.Request(class)
	m.Received()
	m.Refused(metrics.Reason(reason))
}

// RequestEnded counts the outcome of a request, its retries and its wasted tokens.
func (o metricsObserver) RequestEnded(class targets.Class, r dispatch.Result, duration time.Duration) {
	m := o.metrics.Request(class.Name)
	for range r.Attempts - 1 {
		m.Retried()
	}
	if r.FirstToken > 0 {
		m.FirstToken(r.FirstToken)
	}
	if r.Outcome != dispatch.Whole {
		m.Wasted(r.Tokens)
	}
	switch r.Outcome {
	case dispatch.Whole:
		m.Finished(timingOf(class, r, duration), r.Tokens)
	case dispatch.NotRun, dispatch.Rejected:
		m.Refused(metrics.Reason(r.Reason))
	case dispatch.Unknown:
		m.Unknown()
	case dispatch.Failed:
		m.Failed()
	case dispatch.Gone:
		m.Cancelled()
	}
}

func timingOf(class targets.Class, r dispatch.Result, duration time.Duration) metrics.Timing {
	if class.Met(targets.Measured{FirstToken: r.FirstToken, Took: duration, Tokens: r.Tokens}) {
		return metrics.OnTime
	}
	return metrics.Late
}

// updateGauges sets the gauges whose values are kept elsewhere; it runs on each scrape.
func (e *entry) updateGauges() {
	e.metrics.TargetsVersion(e.targetsVersion())
	e.metrics.Queue.Set(0, e.api.InFlight(), 0)
}
