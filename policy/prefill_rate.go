package policy

import (
	"math"
	"time"
)

const (
	// initialRate is the rate, in tokens a millisecond, and firstStep the fixed
	// time, from which a sender starts: what a server with some streams in its
	// batch prefills, and the way there and back with a step of the batch.
	initialRate = 40.0
	initialFixedTime = 20 * time.Millisecond
	// initialDeviation is the mean deviation to start from.
	initialDeviation = 0.4
	// minRate and mostRate bound what is learned.
	minRate = 8.0
	maxRate  = 400.0
	// regressionTimeConstant is over how long samples are averaged: a change is learned
	// in a few seconds. A sample weighs mostWeight at the most, since a hundred
	// are enough to separate slope and fixed time.
	regressionTimeConstant = 3 * time.Second
	maxRegressionWeight    = 1.0 / 100
	// ratioTimeConstant and mostRatioWeight are the same for the ratio of the newest times to
	// those by the line: servers are faster again at once when a burst ends.
	ratioTimeConstant     = 500 * time.Millisecond
	maxRatioWeight = 1.0 / 20
	// minRatio bounds it.
	minRatio = 0.1
	// priorSamples is how many samples the line to start from counts for.
	priorSamples = 30
	// priorLineTokens is where the second of the two points lies, in tokens, that
	// the line to start from goes through.
	priorLineTokens = 8000.0
	// maxOverrun bounds a sample by how many times what was expected: a server
	// that crashed or froze tells nothing of prefill.
	maxOverrun = 4
)

// PrefillRate estimates the time to the first token at the servers of one service: a
// fixed time (the way, the first step) and the prefill of what is before it, at so
// many tokens a millisecond. It is learned from what callers see, so that prefixes
// that weren't cached after all are included.
//
// Fixed time and rate are estimated by linear regression over the samples, the
// newest weighing most. One rate for both would take a model whose first step is slow
// for one whose prefill is slow, and reject what servers that are half idle could
// answer in time.
//
// The regression alone can't follow servers that become faster. Long prompts that took
// long made it steep; by it long ones are rejected, and the short ones that are
// admitted and come soon make it steeper. So where the newest first tokens, of any
// length, come sooner than it says, all are expected as much sooner.
//
// Not safe for concurrent use.
type PrefillRate struct {
	// Weighted means of the meanTokens, the milliseconds, and their products.
	meanTokens, meanMillis, meanTokensSquared, meanTokensMillis float64
	// latencyRatio is the mean latencyRatio of the newest times to those by the line.
	latencyRatio float64
	// relativeDeviation is the mean deviation from what was expected, as a part of it.
	relativeDeviation float64
	// samples counts them; last is when the newest came.
	samples float64
	lastSample    time.Time
}

// Observe takes that a first token came after a time, with so many tokens to
// be prefilled before it.
func (r *PrefillRate) Observe(now time.Time, tokens float64, took time.Duration) {
	if r.meanTokensSquared == 0 {
		r.setPrior()
	}
	expected := toMillis(r.expectedTTFT(tokens))
	millis := min(toMillis(took), maxOverrun*expected)
	since := r.sinceLast(now)
	weight := max(sampleWeight(since, regressionTimeConstant, maxRegressionWeight), 1/(priorSamples+r.samples))
	if expected > 0 {
		r.relativeDeviation += weight * (math.Abs(millis-expected)/expected - r.relativeDeviation)
	}
	if line := r.regressionFixedMillis() + tokens/r.regressionRate(); line > 0 {
		r.latencyRatio += sampleWeight(since, ratioTimeConstant, maxRatioWeight) * (millis/line - r.latencyRatio)
	}
	r.addSample(weight, tokens, millis)
}

// sinceLast counts a sample and is the time sinceLast the one before.
func (r *PrefillRate) sinceLast(now time.Time) time.Duration {
	since := now.Sub(r.lastSample)
	if r.lastSample.IsZero() {
		since = 0
	}
	r.lastSample = now
	r.samples++
	return since
}

// sampleWeight is the weight of a sample that comes so long after the one before.
func sampleWeight(since, memory time.Duration, most float64) float64 {
	return min(1-math.Exp(-float64(since)/float64(memory)), most)
}

// setPrior takes the line to setPrior from as samples, as if it had been seen often.
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

// rate is in tokens a millisecond.
func (r *PrefillRate) rate() float64 {
	if r == nil || r.meanTokensSquared == 0 {
		return initialRate
	}
	return min(r.regressionRate()/r.latencyFactor(), maxRate)
}

// latencyFactor is by how much latencyFactor than by the line first tokens come now: 1 or less.
func (r *PrefillRate) latencyFactor() float64 { return min(max(r.latencyRatio, minRatio), 1) }

// regressionRate is the line's, in tokens a millisecond.
func (r *PrefillRate) regressionRate() float64 {
	spread, together := r.meanTokensSquared-r.meanTokens*r.meanTokens, r.meanTokensMillis-r.meanTokens*r.meanMillis
	if together*maxRate <= spread {
		return maxRate
	}
	return max(spread/together, minRate)
}

// fixedTime is the time to a first token with nothing to be prefilled before it.
func (r *PrefillRate) fixedTime() time.Duration {
	if r == nil || r.meanTokensSquared == 0 {
		return initialFixedTime
	}
	return time.Duration(r.latencyFactor() * r.regressionFixedMillis() * float64(time.Millisecond))
}

// regressionFixedMillis is the line's time to a first token with nothing to be prefilled, in milliseconds.
func (r *PrefillRate) regressionFixedMillis() float64 { return max(r.meanMillis-r.meanTokens/r.regressionRate(), 0) }

// expectedTTFT is when a first token is expected with so many tokens to be prefilled
// before it.
func (r *PrefillRate) expectedTTFT(tokens float64) time.Duration {
	return r.fixedTime() + r.takes(tokens)
}

// likely is by when a first token has come in most cases, with so many tokens of
// others and of its own to be prefilled before it: the expected time and the mean
// deviation, as a part of the wait for others. The model's first step and the own
// prompt take their time at an idle server too: a deviation on these would refuse
// all of a class with a tight target, and nothing would be learned any more.
func (r *PrefillRate) likely(others, own float64) time.Duration {
	return r.expectedTTFT(own) + time.Duration(float64(r.takes(others))*(1+r.deviation()))
}

// within is how many tokens of others may be before a first token that is likely
// to come within a time, with so many of its own.
func (r *PrefillRate) within(d time.Duration, own float64) float64 {
	left := d - r.expectedTTFT(own)
	return max(r.during(left)/(1+r.deviation()), 0)
}

// deviation is the mean one from what was expected, as a part of it.
func (r *PrefillRate) deviation() float64 {
	if r == nil || r.meanTokensSquared == 0 {
		return initialDeviation
	}
	return r.relativeDeviation
}

// takes is how long the prefill of so many tokens takes.
func (r *PrefillRate) takes(tokens float64) time.Duration {
	return time.Duration(tokens / r.rate() * float64(time.Millisecond))
}

// during is how many tokens are prefilled in a time.
func (r *PrefillRate) during(d time.Duration) float64 { return r.rate() * toMillis(d) }

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
