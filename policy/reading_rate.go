package policy

import "time"

const (
	// firstRate is the rate, in tokens a millisecond, from which a sender
	// starts: what a server with some streams in its batch reads.
	firstRate = 40.0
	// leastRate and mostRate bound what is learned.
	leastRate = 8.0
	mostRate  = 400.0
	// firstStep is the part of the time to a first token that no reading is
	// the cause of: the way there and back, and the first step.
	firstStep = 20 * time.Millisecond
	// readingMemory is the weight of the newest sample. With some ten samples a
	// second a change is learned in two or three seconds.
	readingMemory = 1.0 / 32
	// sampleTokens is the least that a sample must have had to read, so that
	// it tells of reading and not of the way.
	sampleTokens = 1500
)

// ReadingRate learns how many tokens of prompt servers of one service read in
// a millisecond, between the steps of what they generate. It goes by the times
// to the first token that callers get, so that it is the rate that counts,
// caches that weren't as warm as thought included. Not safe for concurrent
// use.
type ReadingRate struct {
	tokens float64
	millis float64
}

// Observe takes that a first token came after a time, with so many tokens to
// be read before it.
func (r *ReadingRate) Observe(tokens float64, took time.Duration) {
	if tokens < sampleTokens {
		return
	}
	millis := max(float64(took-firstStep)/float64(time.Millisecond), tokens/mostRate)
	if r.millis == 0 {
		r.tokens, r.millis = firstRate*millis, millis
	}
	r.tokens += readingMemory * (tokens - r.tokens)
	r.millis += readingMemory * (millis - r.millis)
}

// rate is in tokens a millisecond.
func (r *ReadingRate) rate() float64 {
	if r == nil || r.millis == 0 {
		return firstRate
	}
	return min(max(r.tokens/r.millis, leastRate), mostRate)
}

// firstToken is when a first token is expected with so many tokens to be read
// before it.
func (r *ReadingRate) firstToken(tokens float64) time.Duration {
	return firstStep + time.Duration(tokens/r.rate()*float64(time.Millisecond))
}
