package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Timing says whether a whole answer met its class's targets.
type Timing string

// Timings.
const (
	// OnTime: every target of the class was met, or it has none.
	OnTime Timing = "on_time"
	// Late: a target was missed.
	Late Timing = "late"
)

// Reason is a short, stable word for why a request was refused, for example
// "overload".
type Reason string

// Class counts the requests of one class.
type Class struct {
	metrics *Metrics
	label   label

	received  gometrics.Counter
	prompts   gometrics.Counter
	onTime    gometrics.Counter
	late      gometrics.Counter
	unknown   gometrics.Counter
	failed    gometrics.Counter
	cancelled gometrics.Counter
	retried   gometrics.Counter
	wasted    gometrics.Counter
	first     gometrics.Histogram
	pause     gometrics.Histogram
}

// goodput counts whole answers on time, over all classes.
type goodput struct {
	requests gometrics.Counter
	tokens   gometrics.Counter
}

func newClass(m *Metrics, name string) *Class {
	class := label{name: labelClass, value: name}
	timing := func(t Timing) label { return label{name: labelTiming, value: string(t)} }
	return &Class{
		metrics:   m,
		label:     class,
		received:  counter(m.registry, familyReceived, class),
		prompts:   counter(m.registry, familyReceivedTokens, class),
		onTime:    counter(m.registry, familyFinished, class, timing(OnTime)),
		late:      counter(m.registry, familyFinished, class, timing(Late)),
		unknown:   counter(m.registry, familyUnknown, class),
		failed:    counter(m.registry, familyFailed, class),
		cancelled: counter(m.registry, familyCancelled, class),
		retried:   counter(m.registry, familyRetried, class),
		wasted:    counter(m.registry, familyWasted, class),
		first:     histogram(m.registry, familyFirstToken, class),
		pause:     histogram(m.registry, familyPause, class),
	}
}

// Received counts a request as it comes in; it is the base of attainment.
func (c *Class) Received() { c.received.Inc(1) }

// ReceivedPrompt counts the tokens of a received request's prompt.
func (c *Class) ReceivedPrompt(tokens int) { c.prompts.Inc(int64(tokens)) }

// Finished counts a request whose whole answer was given, and its tokens.
func (c *Class) Finished(timing Timing, tokens int) {
	if timing != OnTime {
		c.late.Inc(1)
		return
	}
	c.onTime.Inc(1)
	c.metrics.goodput.requests.Inc(1)
	c.metrics.goodput.tokens.Inc(int64(tokens))
}

// Refused counts a request that was rejected and certainly not run.
func (c *Class) Refused(reason Reason) {
	why := label{name: labelReason, value: string(c.metrics.bounded(reason))}
	counter(c.metrics.registry, familyRefused, c.label, why).Inc(1)
}

// RefusedPrompt counts the tokens of a refused request's prompt. The mean prompt of the
// refused beside that of the received tells whether admission treats sizes alike.
func (c *Class) RefusedPrompt(reason Reason, tokens int) {
	if tokens == 0 {
		return
	}
	why := label{name: labelReason, value: string(c.metrics.bounded(reason))}
	counter(c.metrics.registry, familyRefusedTokens, c.label, why).Inc(int64(tokens))
}

// Unknown counts a request whose caller was told that it may have run.
func (c *Class) Unknown() { c.unknown.Inc(1) }

// Failed counts a request that ended with another error.
func (c *Class) Failed() { c.failed.Inc(1) }

// Cancelled counts a request whose caller went away.
func (c *Class) Cancelled() { c.cancelled.Inc(1) }

// Retried counts a further attempt at a request.
func (c *Class) Retried() { c.retried.Inc(1) }

// Wasted counts tokens that were generated and reached no caller as part of a
// whole answer.
func (c *Class) Wasted(tokens int) { c.wasted.Inc(int64(tokens)) }

// Pause takes the longest pause between two events of a stream.
func (c *Class) Pause(longest time.Duration) { c.pause.Update(longest.Microseconds()) }

// FirstToken records the time from a request's arrival to its first token.
func (c *Class) FirstToken(wait time.Duration) { c.first.Update(wait.Microseconds()) }
