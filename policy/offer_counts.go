package policy

import (
	"math"
	"time"
)

// offerTimeConstant is the time constant for averaging offered and refused requests. It spans
// a few gossip intervals, so that the first second of a burst counts and single refusals don't.
const offerTimeConstant = 500 * time.Millisecond

// OfferCounts holds, for each urgency level, how many requests were offered to a service's
// servers recently and how many of them were refused only for lack of a slot. The counts decay
// exponentially and aren't integers.
type OfferCounts [UrgencyLevels]struct {
	Offered float64
	NoSlot  float64
}

// Add adds other counts to c, or subtracts them if sign is -1.
func (c *OfferCounts) Add(other *OfferCounts, sign float64) {
	for i := range c {
		c[i].Offered += sign * other[i].Offered
		c[i].NoSlot += sign * other[i].NoSlot
	}
}

// Expected returns how many requests of all urgency levels are expected to be offered within
// d.
func (c *OfferCounts) Expected(d time.Duration) float64 {
	return c.total() * float64(d) / float64(offerTimeConstant)
}

// total returns the number of offered requests of all urgency levels.
func (c *OfferCounts) total() float64 {
	offered := 0.0
	for _, level := range c {
		offered += level.Offered
	}
	return offered
}

// OfferCounter maintains one gateway's OfferCounts with exponential decay. Not safe for
// concurrent use.
type OfferCounter struct {
	counts  OfferCounts
	updated time.Time
}

// Observe counts a request of an urgency level; noSlot says that it was refused only for lack
// of a slot.
func (c *OfferCounter) Observe(now time.Time, urgency int, noSlot bool) {
	c.decay(now)
	c.counts[urgency].Offered++
	if noSlot {
		c.counts[urgency].NoSlot++
	}
}

// Counts returns the counts, decayed to now.
func (c *OfferCounter) Counts(now time.Time) OfferCounts {
	c.decay(now)
	return c.counts
}

func (c *OfferCounter) decay(now time.Time) {
	if !c.updated.IsZero() {
		factor := math.Exp(-float64(now.Sub(c.updated)) / float64(offerTimeConstant))
		for i := range c.counts {
			c.counts[i].Offered *= factor
			c.counts[i].NoSlot *= factor
		}
	}
	c.updated = now
}
