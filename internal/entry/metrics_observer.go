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
func (o metricsObserver) RequestReceived(class string) { o.metrics.ForClass(class).Received() }

// RequestRefused counts a request that was refused before it was accepted. The request
// also counts as received.
func (o metricsObserver) RequestRefused(class, reason string) {
	m := o.metrics.ForClass(class)
	m.Received()
	m.Refused(metrics.Reason(reason))
}

// RequestEnded counts the outcome of a request, its retries and its wasted tokens.
func (o metricsObserver) RequestEnded(class targets.Class, r dispatch.Result, duration time.Duration) {
	m := o.metrics.ForClass(class.Name)
	for range r.Attempts - 1 {
		m.Retried()
	}
	if r.FirstToken > 0 {
		m.ObserveFirstToken(r.FirstToken)
	}
	if r.Outcome != dispatch.Completed {
		m.WastedTokens(r.Tokens)
	}
	switch r.Outcome {
	case dispatch.Completed:
		m.Finished(timingOf(class, r, duration), r.Tokens)
	case dispatch.NotRun, dispatch.Rejected:
		m.Refused(metrics.Reason(r.Reason))
	case dispatch.Unknown:
		m.OutcomeUnknown()
	case dispatch.Failed:
		m.Failed()
	case dispatch.Cancelled:
		m.Cancelled()
	}
}

// timingOf returns whether a completed request met the latency targets of its class.
func timingOf(class targets.Class, r dispatch.Result, duration time.Duration) metrics.Timing {
	if class.MeetsTargets(targets.Measurement{FirstToken: r.FirstToken, Duration: duration, Tokens: r.Tokens}) {
		return metrics.OnTime
	}
	return metrics.Late
}

// updateGauges sets the gauges whose values other components hold; it runs on each scrape.
// Of the queue metrics, an entry sets only the running requests: those in flight.
func (e *entry) updateGauges() {
	e.metrics.SetTargetsVersion(e.targetsVersion())
	e.metrics.Queue.Set(0, e.api.InFlight(), 0)
}
