package policy

import (
	"math"
	"time"
)

const (
	// initialRate, in tokens per millisecond, and initialFixedTime are the estimates
	// before the first sample: the prefill rate of a server with some streams in its
	// batch, and the network round trip and one step of the batch.
	initialRate      = 40.0
	initialFixedTime = 20 * time.Millisecond
	// initialDeviation is the initial relative mean deviation.
	initialDeviation = 0.4
	// minRate and maxRate bound the estimated rate, in tokens per millisecond.
	minRate = 8.0
	maxRate = 400.0
	// regressionTimeConstant is the time over which samples are averaged, so that a
	// change is learned in a few seconds. maxRegressionWeight bounds the weight of a
	// sample, since a hundred samples are enough to separate slope and fixed time.
	regressionTimeConstant = 3 * time.Second
	maxRegressionWeight    = 1.0 / 100
	// ratioTimeConstant and maxRatioWeight are the corresponding values for the ratio of
	// observed to predicted times: servers are faster again as soon as a burst ends.
	ratioTimeConstant = 500 * time.Millisecond
	maxRatioWeight    = 1.0 / 20
	// minRatio is the lower bound of that ratio.
	minRatio = 0.1
	// priorSamples is the weight of the initial line, in samples.
	priorSamples = 30
	// priorLineTokens is the second of the two points that define the initial line, in
	// tokens; the first is at 0.
	priorLineTokens = 8000.0
	// maxOverrun bounds a sample to a multiple of the expected time: the time of a server
	// that crashed or froze says nothing about prefill.
	maxOverrun = 4
)

// PrefillRate estimates the time to first token at the servers of one service: a fixed
// time (network and first decoding step) and the prefill of all tokens ahead, at a rate in
// tokens per millisecond. It learns from the latency that gateways observe, which includes
// prefixes that turned out not to be cached.
//
// The rate is that of the service's average server. Tokens of a faster or slower server are
// multiplied by its slowdown before they are passed, both to learn and to predict.
//
// Fixed time and rate are estimated by linear regression with exponentially decaying
// weights. A single rate without a fixed time would mistake a slow first step for slow
// prefill, and refuse requests that half-idle servers could answer in time.
//
// The regression alone can't follow servers that become faster. Long prompts that took
// long have made the line steep; because of it long prompts are refused, and the short
// ones that are admitted and are fast make it steeper. So if recent first tokens, at any
// prompt length, arrive earlier than the line predicts, all predictions are reduced by the
// same ratio.
//
// Not safe for concurrent use.
type PrefillRate struct {
	// Weighted means of tokens, milliseconds and their products.
	meanTokens, meanMillis, meanTokensSquared, meanTokensMillis float64
	// latencyRatio is the mean ratio of recent times to those predicted by the line.
	latencyRatio float64
	// relativeDeviation is the mean deviation from the expected time, as a fraction of it.
	relativeDeviation float64
	// samples is the number of samples; lastSample is the time of the newest one.
	samples    float64
	lastSample time.Time
}

// Observe records a time to first token with a number of tokens ahead, the request's own
// included.
func (r *PrefillRate) Observe(now time.Time, tokensAhead float64, latency time.Duration) {
	if r.meanTokensSquared == 0 {
		r.setPrior()
	}
	expected := toMillis(r.expectedTTFT(tokensAhead))
	millis := min(toMillis(latency), maxOverrun*expected)
	elapsed := r.countSample(now)
	weight := max(sampleWeight(elapsed, regressionTimeConstant, maxRegressionWeight), 1/(priorSamples+r.samples))
	if expected > 0 {
		r.relativeDeviation += weight * (math.Abs(millis-expected)/expected - r.relativeDeviation)
	}
	if predicted := r.regressionFixedMillis() + tokensAhead/r.regressionRate(); predicted > 0 {
		r.latencyRatio += sampleWeight(elapsed, ratioTimeConstant, maxRatioWeight) * (millis/predicted - r.latencyRatio)
	}
	r.addSample(weight, tokensAhead, millis)
}

// countSample counts a sample and returns the time since the previous one; 0 for the first.
func (r *PrefillRate) countSample(now time.Time) time.Duration {
	elapsed := now.Sub(r.lastSample)
	if r.lastSample.IsZero() {
		elapsed = 0
	}
	r.lastSample = now
	r.samples++
	return elapsed
}

// sampleWeight returns the weight of a sample in an exponential moving average, by the
// time since the previous sample and bounded by maxWeight.
func sampleWeight(elapsed, timeConstant time.Duration, maxWeight float64) float64 {
	return min(1-math.Exp(-float64(elapsed)/float64(timeConstant)), maxWeight)
}

// setPrior initializes the means from two points of the initial line.
func (r *PrefillRate) setPrior() {
	near, far := toMillis(initialFixedTime), toMillis(initialFixedTime)+priorLineTokens/initialRate
	r.meanTokens, r.meanMillis = priorLineTokens/2, (near+far)/2
	r.meanTokensSquared, r.meanTokensMillis = priorLineTokens*priorLineTokens/2, priorLineTokens*far/2
	r.relativeDeviation, r.latencyRatio = initialDeviation, 1
}

func (r *PrefillRate) addSample(weight, tokens, millis float64) {
	r.meanTokens += weight * (tokens - r.meanTokens)
	r.meanMillis += weight * (millis - r.meanMillis)
	r.meanTokensSquared += weight * (tokens*tokens - r.meanTokensSquared)
	r.meanTokensMillis += weight * (tokens*millis - r.meanTokensMillis)
}

// rate returns the current prefill rate in tokens per millisecond.
func (r *PrefillRate) rate() float64 {
	if r == nil || r.meanTokensSquared == 0 {
		return initialRate
	}
	return min(r.regressionRate()/r.latencyFactor(), maxRate)
}

// latencyFactor returns the factor by which recent first tokens arrive earlier than the
// line predicts; at most 1.
func (r *PrefillRate) latencyFactor() float64 { return min(max(r.latencyRatio, minRatio), 1) }

// regressionRate returns the rate of the regression line in tokens per millisecond.
func (r *PrefillRate) regressionRate() float64 {
	variance, covariance := r.meanTokensSquared-r.meanTokens*r.meanTokens, r.meanTokensMillis-r.meanTokens*r.meanMillis
	if covariance*maxRate <= variance {
		return maxRate
	}
	return max(variance/covariance, minRate)
}

// fixedTime returns the time to first token with no tokens ahead.
func (r *PrefillRate) fixedTime() time.Duration {
	if r == nil || r.meanTokensSquared == 0 {
		return initialFixedTime
	}
	return time.Duration(r.latencyFactor() * r.regressionFixedMillis() * float64(time.Millisecond))
}

// regressionFixedMillis returns the fixed time of the regression line in milliseconds.
func (r *PrefillRate) regressionFixedMillis() float64 {
	return max(r.meanMillis-r.meanTokens/r.regressionRate(), 0)
}

// expectedTTFT returns the expected time to first token with a number of tokens ahead, the
// request's own included.
func (r *PrefillRate) expectedTTFT(tokensAhead float64) time.Duration {
	return r.fixedTime() + r.prefillTime(tokensAhead)
}

// likelyTTFT returns the time within which the first token of a request arrives in most
// cases, with queuedTokens of other requests ahead and ownTokens of its own to prefill. It is
// the expected time plus the mean deviation, applied only to the wait for the other requests.
// The first step and the request's own prefill take as long at an idle server. If a deviation
// were added for these too, every request of a class with a tight target would be refused, and
// no more samples would correct the estimate.
func (r *PrefillRate) likelyTTFT(queuedTokens, ownTokens float64) time.Duration {
	return r.expectedTTFT(ownTokens) + time.Duration(float64(r.prefillTime(queuedTokens))*(1+r.deviation()))
}

// maxQueuedTokens returns the number of tokens of other requests up to which likelyTTFT is
// within d for a request with ownTokens to prefill; at least 0.
func (r *PrefillRate) maxQueuedTokens(d time.Duration, ownTokens float64) float64 {
	slack := d - r.expectedTTFT(ownTokens)
	return max(r.tokensIn(slack)/(1+r.deviation()), 0)
}

// deviation returns the mean deviation from the expected time, as a fraction of it.
func (r *PrefillRate) deviation() float64 {
	if r == nil || r.meanTokensSquared == 0 {
		return initialDeviation
	}
	return r.relativeDeviation
}

// prefillTime returns how long the prefill of a number of tokens takes.
func (r *PrefillRate) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / r.rate() * float64(time.Millisecond))
}

// tokensIn returns how many tokens are prefilled in a time.
func (r *PrefillRate) tokensIn(d time.Duration) float64 { return r.rate() * toMillis(d) }

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
