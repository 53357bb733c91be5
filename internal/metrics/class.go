package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Timing says whether a complete response met the latency targets of its class.
type Timing string

// Values of Timing.
const (
	// OnTime means that the response met every target, or the class has none.
	OnTime Timing = "on_time"
	// Late means that the response missed a target.
	Late Timing = "late"
)

// Reason is the value of the label reason: a short, stable word for why a request
// was refused, for example "overload".
type Reason string

// Class holds the metrics of one class of requests. It is safe for concurrent
// use.
type Class struct {
	metrics *Metrics
	label   label

	received       gometrics.Counter
	promptTokens   gometrics.Counter
	onTime         gometrics.Counter
	late           gometrics.Counter
	outcomeUnknown gometrics.Counter
	failed         gometrics.Counter
	cancelled      gometrics.Counter
	retried        gometrics.Counter
	retriesDenied  gometrics.Counter
	wastedTokens   gometrics.Counter
	firstToken     gometrics.Histogram
	longestPause   gometrics.Histogram
}

// goodput counts complete responses that were on time, over all classes.
type goodput struct {
	requests gometrics.Counter
	tokens   gometrics.Counter
}

func newClass(m *Metrics, name string) *Class {
	class := label{name: labelClass, value: name}
	timingLabel := func(t Timing) label { return label{name: labelTiming, value: string(t)} }
	return &Class{
		metrics:        m,
		label:          class,
		received:       counter(m.registry, familyReceived, class),
		promptTokens:   counter(m.registry, familyReceivedPromptTokens, class),
		onTime:         counter(m.registry, familyFinished, class, timingLabel(OnTime)),
		late:           counter(m.registry, familyFinished, class, timingLabel(Late)),
		outcomeUnknown: counter(m.registry, familyOutcomeUnknown, class),
		failed:         counter(m.registry, familyFailed, class),
		cancelled:      counter(m.registry, familyCancelled, class),
		retried:        counter(m.registry, familyRetried, class),
		retriesDenied:  counter(m.registry, familyRetriesDenied, class),
		wastedTokens:   counter(m.registry, familyWastedTokens, class),
		firstToken:     histogram(m.registry, familyFirstToken, class),
		longestPause:   histogram(m.registry, familyLongestPause, class),
	}
}

// Received counts a request on arrival. Attainment is computed relative to this
// count.
func (c *Class) Received() { c.received.Inc(1) }

// ReceivedPromptTokens counts the prompt tokens of a received request.
func (c *Class) ReceivedPromptTokens(tokens int) { c.promptTokens.Inc(int64(tokens)) }

// Finished counts a request whose response was sent completely, and adds its
// tokens to the goodput if it was on time.
func (c *Class) Finished(timing Timing, tokens int) {
	if timing != OnTime {
		c.late.Inc(1)
		return
	}
	c.onTime.Inc(1)
	c.metrics.goodput.requests.Inc(1)
	c.metrics.goodput.tokens.Inc(int64(tokens))
}

// Refused counts a request that was refused and certainly not run. Reasons past
// MaxReasons are counted as "other".
func (c *Class) Refused(reason Reason) {
	reasonLabel := label{name: labelReason, value: string(c.metrics.limitReason(reason))}
	counter(c.metrics.registry, familyRefused, c.label, reasonLabel).Inc(1)
}

// RefusedPromptTokens counts the prompt tokens of a refused request. Comparing the mean
// prompt length of refused requests with that of received ones shows whether admission is
// biased by prompt length.
func (c *Class) RefusedPromptTokens(reason Reason, tokens int) {
	if tokens == 0 {
		return
	}
	reasonLabel := label{name: labelReason, value: string(c.metrics.limitReason(reason))}
	counter(c.metrics.registry, familyRefusedPromptTokens, c.label, reasonLabel).Inc(int64(tokens))
}

// OutcomeUnknown counts a request whose response reported that it may have run.
func (c *Class) OutcomeUnknown() { c.outcomeUnknown.Inc(1) }

// Failed counts a request that ended with any other error.
func (c *Class) Failed() { c.failed.Inc(1) }

// Cancelled counts a request whose caller disconnected.
func (c *Class) Cancelled() { c.cancelled.Inc(1) }

// Retried counts a further attempt at a request.
func (c *Class) Retried() { c.retried.Inc(1) }

// RetryDenied counts a request that was not attempted again because of the retry budget.
func (c *Class) RetryDenied() { c.retriesDenied.Inc(1) }

// WastedTokens counts tokens that were generated but didn't reach a caller as part
// of a complete response.
func (c *Class) WastedTokens(tokens int) { c.wastedTokens.Inc(int64(tokens)) }

// ObserveLongestPause records the longest pause between two events of a stream.
func (c *Class) ObserveLongestPause(longest time.Duration) {
	c.longestPause.Update(longest.Microseconds())
}

// ObserveFirstToken records the time from a request's arrival to its first token.
func (c *Class) ObserveFirstToken(wait time.Duration) { c.firstToken.Update(wait.Microseconds()) }
