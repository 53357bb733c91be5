package policy

import (
	"math"
	"time"
)

// sendDecay is the time constant for averaging sends. It spans a few gossip intervals, so that
// the start of a burst counts at once and single requests don't.
const sendMemory = 300 * time.Millisecond

// SendRate tracks how many requests a sender sent recently, and how many tokens are prefilled
// for those of each urgency level, with exponential decay. Not safe for concurrent use.
type SendRate struct {
	sends  float64
	tokens [UrgencyLevels]float64
	last   time.Time
}

// CountSent counts one request and the tokens that are prefilled for it.
func (r *SendRate) Sent(now time.Time, urgency, prefillTokens int) {
	r.fade(now)
	r.sends++
	r.tokens[urgency] += float64(prefillTokens)
}

// Expected returns how many requests are expected to be sent within d, and how many tokens are
// prefilled for those at least as urgent as the given level.
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
		factor := math.Exp(-float64(now.Sub(r.last)) / float64(sendMemory))
		r.sends *= factor
		for i := range r.tokens {
			r.tokens[i] *= factor
		}
	}
	r.last = now
}
