package policy

import (
	"math"
	"time"
)

const (
	// firstRate is the rate, in tokens a millisecond, and firstStep the fixed
	// time, from which a sender starts: what a server with some streams in its
	// batch prefills, and the way there and back with a step of the batch.
	firstRate = 40.0
	firstStep = 20 * time.Millisecond
	// firstDoubt is the mean deviation to start from.
	firstDoubt = 0.4
	// leastRate and mostRate bound what is learned.
	leastRate = 8.0
	mostRate  = 400.0
	// prefillMemory is over how long samples are averaged: a change is learned
	// in a few seconds. A sample weighs mostWeight at the most, since a hundred
	// are enough to separate slope and fixed time.
	prefillMemory = 3 * time.Second
	mostWeight    = 1.0 / 100
	// ratioMemory and mostRatioWeight are the same for the ratio of the newest times to
	// those by the line: servers are faster again at once when a burst ends.
	ratioMemory     = 500 * time.Millisecond
	mostRatioWeight = 1.0 / 20
	// leastRatio bounds it.
	leastRatio = 0.1
	// priorSamples is how many samples the line to start from counts for.
	priorSamples = 30
	// longPrefill is where the second of the two points lies, in tokens, that
	// the line to start from goes through.
	longPrefill = 8000.0
	// mostLate bounds a sample by how many times what was expected: a server
	// that crashed or froze tells nothing of prefill.
	mostLate = 4
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
	// Weighted means of the tokens, the milliseconds, and their products.
	tokens, millis, square, product float64
	// ratio is the mean ratio of the newest times to those by the line.
	ratio float64
	// doubt is the mean deviation from what was expected, as a part of it.
	doubt float64
	// samples counts them; last is when the newest came.
	samples float64
	last    time.Time
}

// Observe takes that a first token came after a time, with so many tokens to
// be prefilled before it.
func (r *PrefillRate) Observe(now time.Time, tokens float64, took time.Duration) {
	if r.square == 0 {
		r.start()
	}
	expected := inMillis(r.firstToken(tokens))
	millis := min(inMillis(took), mostLate*expected)
	since := r.since(now)
	weight := max(newest(since, prefillMemory, mostWeight), 1/(priorSamples+r.samples))
	if expected > 0 {
		r.doubt += weight * (math.Abs(millis-expected)/expected - r.doubt)
	}
	if line := r.lineFixed() + tokens/r.lineRate(); line > 0 {
		r.ratio += newest(since, ratioMemory, mostRatioWeight) * (millis/line - r.ratio)
	}
	r.take(weight, tokens, millis)
}

// since counts a sample and is the time since the one before.
func (r *PrefillRate) since(now time.Time) time.Duration {
	since := now.Sub(r.last)
	if r.last.IsZero() {
		since = 0
	}
	r.last = now
	r.samples++
	return since
}

// newest is the weight of a sample that comes so long after the one before.
func newest(since, memory time.Duration, most float64) float64 {
	return min(1-math.Exp(-float64(since)/float64(memory)), most)
}

// start takes the line to start from as samples, as if it had been seen often.
func (r *PrefillRate) start() {
	near, far := inMillis(firstStep), inMillis(firstStep)+longPrefill/firstRate
	r.tokens, r.millis = longPrefill/2, (near+far)/2
	r.square, r.product = longPrefill*longPrefill/2, longPrefill*far/2
	r.doubt, r.ratio = firstDoubt, 1
}

func (r *PrefillRate) take(weight, tokens, millis float64) {
	r.tokens += weight * (tokens - r.tokens)
	r.millis += weight * (millis - r.millis)
	r.square += weight * (tokens*tokens - r.square)
	r.product += weight * (tokens*millis - r.product)
}

// rate is in tokens a millisecond.
func (r *PrefillRate) rate() float64 {
	if r == nil || r.square == 0 {
		return firstRate
	}
	return min(r.lineRate()/r.sooner(), mostRate)
}

// sooner is by how much sooner than by the line first tokens come now: 1 or less.
func (r *PrefillRate) sooner() float64 { return min(max(r.ratio, leastRatio), 1) }

// lineRate is the line's, in tokens a millisecond.
func (r *PrefillRate) lineRate() float64 {
	spread, together := r.square-r.tokens*r.tokens, r.product-r.tokens*r.millis
	if together*mostRate <= spread {
		return mostRate
	}
	return max(spread/together, leastRate)
}

// fixed is the time to a first token with nothing to be prefilled before it.
func (r *PrefillRate) fixed() time.Duration {
	if r == nil || r.square == 0 {
		return firstStep
	}
	return time.Duration(r.sooner() * r.lineFixed() * float64(time.Millisecond))
}

// lineFixed is the line's time to a first token with nothing to be prefilled, in milliseconds.
func (r *PrefillRate) lineFixed() float64 { return max(r.millis-r.tokens/r.lineRate(), 0) }

// firstToken is when a first token is expected with so many tokens to be prefilled
// before it.
func (r *PrefillRate) firstToken(tokens float64) time.Duration {
	return r.fixed() + r.takes(tokens)
}

// likely is by when a first token has come in most cases, with so many tokens of
// others and of its own to be prefilled before it: the expected time and the mean
// deviation, as a part of the wait for others. The model's first step and the own
// prompt take their time at an idle server too: a deviation on these would refuse
// all of a class with a tight target, and nothing would be learned any more.
func (r *PrefillRate) likely(others, own float64) time.Duration {
	return r.firstToken(own) + time.Duration(float64(r.takes(others))*(1+r.deviation()))
}

// within is how many tokens of others may be before a first token that is likely
// to come within a time, with so many of its own.
func (r *PrefillRate) within(d time.Duration, own float64) float64 {
	left := d - r.firstToken(own)
	return max(r.during(left)/(1+r.deviation()), 0)
}

// deviation is the mean one from what was expected, as a part of it.
func (r *PrefillRate) deviation() float64 {
	if r == nil || r.square == 0 {
		return firstDoubt
	}
	return r.doubt
}

// takes is how long the prefill of so many tokens takes.
func (r *PrefillRate) takes(tokens float64) time.Duration {
	return time.Duration(tokens / r.rate() * float64(time.Millisecond))
}

// during is how many tokens are prefilled in a time.
func (r *PrefillRate) during(d time.Duration) float64 { return r.rate() * inMillis(d) }

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
