package policy

import "time"

// priorAdmitted is how many admitted tickets the ratio starts with, so that the first refusal
// after a quiet period doesn't look like a burst. It is the limit of a cold engine.
const priorAdmitted = initialLimit

// refusalRatio tracks the share of recently offered tickets that were refused. It
// distinguishes momentary congestion, after which a caller may retry at once, from a burst.
type refusalRatio struct {
	offers  float64
	refused float64
	updated time.Time
}

// observe counts one offered ticket.
func (r *refusalRatio) observe(now time.Time, refused bool) {
	r.decay(now)
	r.offers++
	if refused {
		r.refused++
	}
}

// at returns the ratio at a time, from 0 to 1.
func (r *refusalRatio) at(now time.Time) float64 {
	r.decay(now)
	return r.refused / (r.offers + priorAdmitted)
}

// decay reduces the weight of both counts with time, over demandWindow.
func (r *refusalRatio) decay(now time.Time) {
	if !r.updated.IsZero() {
		factor := 1 - windowWeight(now.Sub(r.updated))
		r.offers *= factor
		r.refused *= factor
	}
	r.updated = now
}
