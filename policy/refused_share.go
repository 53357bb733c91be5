package policy

import "time"

// priorOffers is how many admitted tickets a share starts from, so that the
// first refusal after a quiet time isn't taken for a burst: a cold batch.
const priorOffers = coldLimit

// refusedShare is how much of what was offered lately was refused. It tells a
// moment's crowding, after which one may come back at once, from a burst.
type refusedShare struct {
	offers  float64
	refused float64
	last    time.Time
}

// observe takes one offer.
func (r *refusedShare) observe(now time.Time, refused bool) {
	r.fade(now)
	r.offers++
	if refused {
		r.refused++
	}
}

// of is the share, from zero to one.
func (r *refusedShare) of(now time.Time) float64 {
	r.fade(now)
	return r.refused / (r.offers + priorOffers)
}

// fade lets both counts lose weight over demandMemory.
func (r *refusedShare) fade(now time.Time) {
	if !r.last.IsZero() {
		kept := 1 - newestWeight(now.Sub(r.last))
		r.offers *= kept
		r.refused *= kept
	}
	r.last = now
}
