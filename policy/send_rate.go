package policy

import (
	"math"
	"time"
)

// sendMemory is over how long sends are averaged: a few telling intervals, so
// that the start of a burst counts at once, and single requests don't.
const sendMemory = 300 * time.Millisecond

// SendRate is how many requests a sender has sent lately, and how many tokens
// are read for those of each urgency, by exponential decay. Not safe for
// concurrent use.
type SendRate struct {
	sends  float64
	tokens [UrgencyLevels]float64
	last   time.Time
}

// Sent counts one request and what is read for it.
func (r *SendRate) Sent(now time.Time, urgency, reading int) {
	r.fade(now)
	r.sends++
	r.tokens[urgency] += float64(reading)
}

// Within is how many requests are to be expected within a time, and how many
// tokens are read for those that are at least as urgent.
func (r *SendRate) Within(now time.Time, d time.Duration, urgency int) (requests, tokens float64) {
	r.fade(now)
	share := float64(d) / float64(sendMemory)
	for _, t := range r.tokens[:urgency+1] {
		tokens += t
	}
	return r.sends * share, tokens * share
}

func (r *SendRate) fade(now time.Time) {
	if !r.last.IsZero() {
		kept := math.Exp(-float64(now.Sub(r.last)) / float64(sendMemory))
		r.sends *= kept
		for i := range r.tokens {
			r.tokens[i] *= kept
		}
	}
	r.last = now
}
