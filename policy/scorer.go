package policy

import "time"

// scorer is the second stage of placement.
type scorer interface {
	// cost returns the cost of a candidate, in units of load per slot. mean is the mean load
	// of the eligible candidates.
	cost(now time.Time, request PlacementRequest, c *Candidate, mean float64) float64
}

// loadScorer prefers engines with fewer waiting and running requests per slot.
type loadScorer struct{}

func (loadScorer) cost(now time.Time, request PlacementRequest, c *Candidate, mean float64) float64 {
	return c.expectedLoad(now, mean)
}

// crossZoneCost is the cost of another availability zone: a quarter of a batch. The
// network adds one or two milliseconds per frame; a wait for a slot adds hundreds.
const crossZoneCost = 0.25

// zoneScorer prefers the entry's own availability zone.
type zoneScorer struct{}

func (zoneScorer) cost(now time.Time, request PlacementRequest, c *Candidate, mean float64) float64 {
	if c.Zone == request.Zone {
		return 0
	}
	return crossZoneCost
}
