package policy

import (
	"math"
	"time"
)

// sendTimeConstant is the time constant for averaging sends. It spans a few gossip intervals,
// so that the start of a burst counts at once and single requests don't.
const sendTimeConstant = 300 * time.Millisecond

// SendRate tracks how many requests a gateway sent recently, and how many tokens are prefilled
// for those of each urgency level, with exponential decay. Not safe for concurrent use.
type SendRate struct {
	sends   float64
	tokens  [UrgencyLevels]float64
	updated time.Time
}

// CountSent counts one request and the tokens that are prefilled for it.
func (r *SendRate) CountSent(now time.Time, urgency, prefillTokens int) {
	r.decay(now)
	r.sends++
	r.tokens[urgency] += float64(prefillTokens)
}

// Expected returns how many requests are expected to be sent within d, and how many tokens are
// prefilled for those at least as urgent as the given level.
func (r *SendRate) Expected(now time.Time, d time.Duration, urgency int) (requests, tokens float64) {
	r.decay(now)
	share := float64(d) / float64(sendTimeConstant)
	for _, t := range r.tokens[:urgency+1] {
		tokens += t
	}
	return r.sends * share, tokens * share
}

func (r *SendRate) decay(now time.Time) {
	if !r.updated.IsZero() {
		factor := math.Exp(-float64(now.Sub(r.updated)) / float64(sendTimeConstant))
		r.sends *= factor
		for i := range r.tokens {
			r.tokens[i] *= factor
		}
	}
	r.updated = now
}
