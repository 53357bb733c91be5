package policy

import "time"

// scorer is the second stage of placement: what speaks against a candidate,
// in units of load per slot.
type scorer interface {
	cost(now time.Time, want Placement, c *Candidate, mean float64) float64
}

// loadScorer prefers engines with less waiting and running per slot.
type loadScorer struct{}

func (loadScorer) cost(now time.Time, want Placement, c *Candidate, mean float64) float64 {
	return c.expectedLoad(now, mean)
}

// crossZoneCost is what another availability zone counts for: a quarter of a
// batch. The way there costs one or two milliseconds for each frame; a wait
// for a slot costs hundreds.
const crossZoneCost = 0.25

// zoneScorer prefers the entry's own availability zone.
type zoneScorer struct{}

func (zoneScorer) cost(now time.Time, want Placement, c *Candidate, mean float64) float64 {
	if c.Zone == want.Zone {
		return 0
	}
	return crossZoneCost
}
