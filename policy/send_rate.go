package policy

import (
	"math"
	"time"
)

// sendTimeConstant is the time constant for averaging sends. It spans a few gossip intervals,
// so that the start of a burst counts at once and single requests don't.
const sendTimeConstant = 300 * time.Millisecond

// minOffersForRatio is how many requests must have been offered to this gateway recently for their
// number to be compared with what others report.
const minOffersForRatio = 1.0

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

// ExpectedElsewhere is Expected for all other gateways together. It scales this gateway's own sends,
// which respond to a burst at once, by what the others report to be offered relative to what is
// offered here: callers' connections may be spread unevenly, and a gateway that gets most of them
// must not take the others to send as much.
func (r *SendRate) ExpectedElsewhere(now time.Time, d time.Duration, urgency int, own, others *OfferCounts) (requests, tokens float64) {
	requests, tokens = r.Expected(now, d, urgency)
	ratio := 0.0
	switch ownOffered := own.total(); {
	case ownOffered >= minOffersForRatio:
		ratio = others.total() / ownOffered
	case requests > 0:
		ratio = others.Expected(d) / requests
	default:
		return others.Expected(d), 0
	}
	return requests * ratio, tokens * ratio
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
