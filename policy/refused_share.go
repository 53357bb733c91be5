package policy

import "time"

// priorOffers is how many admitted tickets the ratio starts with, so that the first refusal
// after a quiet period doesn't look like a burst. It is the limit of a cold engine.
const priorOffers = coldLimit

// refusalRatio tracks the share of recently offered tickets that were refused. It
// distinguishes momentary congestion, after which a caller may retry at once, from a burst.
type refusedShare struct {
	offers  float64
	refused float64
	last    time.Time
}

// observe counts one offered ticket.
func (r *refusedShare) observe(now time.Time, refused bool) {
	r.fade(now)
	r.offers++
	if refused {
		r.refused++
	}
}

// at returns the ratio at a time, from 0 to 1.
func (r *refusedShare) of(now time.Time) float64 {
	r.fade(now)
	return r.refused / (r.offers + priorOffers)
}

// decay reduces the weight of both counts with time, over demandWindow.
func (r *refusedShare) fade(now time.Time) {
	if !r.last.IsZero() {
		factor := 1 - newestWeight(now.Sub(r.last))
		r.offers *= factor
		r.refused *= factor
	}
	r.last = now
}
