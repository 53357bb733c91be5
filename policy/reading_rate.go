package policy

import (
	"math"
	"time"
)

const (
	// firstRate is the rate, in tokens a millisecond, and firstStep the fixed
	// time, from which a sender starts: what a server with some streams in its
	// batch reads, and the way there and back with a step of the batch.
	firstRate = 40.0
	firstStep = 20 * time.Millisecond
	// firstDoubt is the mean deviation to start from.
	firstDoubt = 0.4
	// leastRate and mostRate bound what is learned.
	leastRate = 8.0
	mostRate  = 400.0
	// readingMemory is over how long samples are averaged: a change is learned
	// in a few seconds. A sample weighs mostWeight at the most, since a hundred
	// tell slope and fixed time apart.
	readingMemory = 3 * time.Second
	mostWeight    = 1.0 / 100
	// priorSamples is how many samples the line to start from counts for.
	priorSamples = 30
	// longReading is where the second of the two points lies, in tokens, that
	// the line to start from goes through.
	longReading = 8000.0
	// mostLate bounds a sample by how many times what was expected: a server
	// that crashed or froze tells nothing of reading.
	mostLate = 4
)

// ReadingRate learns when servers of one service send the first token: after a
// fixed time (the way, the first step) and the time for reading what is before
// it, at so many tokens a millisecond. It goes by the times that callers get,
// so that caches that weren't as warm as thought are included.
//
// Fixed time and slope are told apart by the line through the samples that
// leaves the least squares, the newest counting most. One rate for both would
// take a model whose first step is slow for one that reads slowly, and refuse
// what servers that are half idle could answer in time.
//
// Not safe for concurrent use.
type ReadingRate struct {
	// Weighted means of the tokens, the milliseconds, and their products.
	tokens, millis, square, product float64
	// doubt is the mean deviation from what was expected, as a part of it.
	doubt float64
	// samples counts them; last is when the newest came.
	samples float64
	last    time.Time
}

// Observe takes that a first token came after a time, with so many tokens to
// be read before it.
func (r *ReadingRate) Observe(now time.Time, tokens float64, took time.Duration) {
	if r.square == 0 {
		r.start()
	}
	expected := inMillis(r.firstToken(tokens))
	millis := min(inMillis(took), mostLate*expected)
	weight := r.weight(now)
	if expected > 0 {
		r.doubt += weight * (math.Abs(millis-expected)/expected - r.doubt)
	}
	r.take(weight, tokens, millis)
}

// weight is that of the newest sample.
func (r *ReadingRate) weight(now time.Time) float64 {
	since := now.Sub(r.last)
	if r.last.IsZero() {
		since = 0
	}
	r.last = now
	r.samples++
	byTime := min(1-math.Exp(-float64(since)/float64(readingMemory)), mostWeight)
	return max(byTime, 1/(priorSamples+r.samples))
}

// start takes the line to start from as samples, as if it had been seen often.
func (r *ReadingRate) start() {
	near, far := inMillis(firstStep), inMillis(firstStep)+longReading/firstRate
	r.tokens, r.millis = longReading/2, (near+far)/2
	r.square, r.product = longReading*longReading/2, longReading*far/2
	r.doubt = firstDoubt
}

func (r *ReadingRate) take(weight, tokens, millis float64) {
	r.tokens += weight * (tokens - r.tokens)
	r.millis += weight * (millis - r.millis)
	r.square += weight * (tokens*tokens - r.square)
	r.product += weight * (tokens*millis - r.product)
}

// rate is in tokens a millisecond.
func (r *ReadingRate) rate() float64 {
	if r == nil || r.square == 0 {
		return firstRate
	}
	spread, together := r.square-r.tokens*r.tokens, r.product-r.tokens*r.millis
	if together*mostRate <= spread {
		return mostRate
	}
	return max(spread/together, leastRate)
}

// fixed is the time to a first token with nothing to be read before it.
func (r *ReadingRate) fixed() time.Duration {
	if r == nil || r.square == 0 {
		return firstStep
	}
	millis := max(r.millis-r.tokens/r.rate(), 0)
	return time.Duration(millis * float64(time.Millisecond))
}

// firstToken is when a first token is expected with so many tokens to be read
// before it.
func (r *ReadingRate) firstToken(tokens float64) time.Duration {
	return r.fixed() + r.reads(tokens)
}

// likely is by when a first token has come in most cases, with so many tokens of
// others and of its own to be read before it: the expected time and the mean
// deviation, as a part of the wait for others. The model's first step and the own
// prompt take their time at an idle server too: a deviation on these would refuse
// all of a class with a tight target, and nothing would be learned any more.
func (r *ReadingRate) likely(others, own float64) time.Duration {
	return r.firstToken(own) + time.Duration(float64(r.reads(others))*(1+r.deviation()))
}

// within is how many tokens of others may be before a first token that is likely
// to come within a time, with so many of its own.
func (r *ReadingRate) within(d time.Duration, own float64) float64 {
	left := d - r.firstToken(own)
	return max(r.during(left)/(1+r.deviation()), 0)
}

// deviation is the mean one from what was expected, as a part of it.
func (r *ReadingRate) deviation() float64 {
	if r == nil || r.square == 0 {
		return firstDoubt
	}
	return r.doubt
}

// reads is how long reading so many tokens takes.
func (r *ReadingRate) reads(tokens float64) time.Duration {
	return time.Duration(tokens / r.rate() * float64(time.Millisecond))
}

// during is how many tokens are read in a time.
func (r *ReadingRate) during(d time.Duration) float64 { return r.rate() * inMillis(d) }

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
