package policy

import (
	"math"
	"time"
)

// shortageMemory is over how long offers and refusals are averaged: a few
// telling intervals, so that the first second of a burst counts, and single
// refusals don't.
const shortageMemory = 500 * time.Millisecond

// Shortage is how many requests of each urgency were offered to a service's
// servers lately, and how many of these were refused for want of a slot only.
type Shortage [UrgencyLevels]struct {
	Offered float64
	Lacked  float64
}

// Add adds other counts, or takes them away where sign is -1.
func (s *Shortage) Add(other *Shortage, sign float64) {
	for i := range s {
		s[i].Offered += sign * other[i].Offered
		s[i].Lacked += sign * other[i].Lacked
	}
}

// Within is how many requests of all urgencies are to be expected within a time.
func (s *Shortage) Within(d time.Duration) float64 {
	offered := 0.0
	for _, level := range s {
		offered += level.Offered
	}
	return offered * float64(d) / float64(shortageMemory)
}

// ShortageCount counts one sender's Shortage by exponential decay. Not safe for
// concurrent use.
type ShortageCount struct {
	counts Shortage
	last   time.Time
}

// Offered counts a request of an urgency, and whether only a slot lacked.
func (c *ShortageCount) Offered(now time.Time, urgency int, lacked bool) {
	c.fade(now)
	c.counts[urgency].Offered++
	if lacked {
		c.counts[urgency].Lacked++
	}
}

// Counts is what counts now.
func (c *ShortageCount) Counts(now time.Time) Shortage {
	c.fade(now)
	return c.counts
}

func (c *ShortageCount) fade(now time.Time) {
	if !c.last.IsZero() {
		kept := math.Exp(-float64(now.Sub(c.last)) / float64(shortageMemory))
		for i := range c.counts {
			c.counts[i].Offered *= kept
			c.counts[i].Lacked *= kept
		}
	}
	c.last = now
}
