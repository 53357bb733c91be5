package policy

import (
	"math"
	"time"
)

// sendMemory is over how long sends are averaged: a few telling intervals, so
// that the start of a burst counts at once, and single requests don't.
const sendMemory = 300 * time.Millisecond

// SendRate is how many requests a sender has sent lately, by exponential decay.
// Not safe for concurrent use.
type SendRate struct {
	sends float64
	last  time.Time
}

// Sent counts one request.
func (r *SendRate) Sent(now time.Time) {
	r.fade(now)
	r.sends++
}

// Within is how many requests are to be expected within a time.
func (r *SendRate) Within(now time.Time, d time.Duration) float64 {
	r.fade(now)
	return r.sends * float64(d) / float64(sendMemory)
}

func (r *SendRate) fade(now time.Time) {
	if !r.last.IsZero() {
		r.sends *= math.Exp(-float64(now.Sub(r.last)) / float64(sendMemory))
	}
	r.last = now
}
