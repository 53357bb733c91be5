package policy

import "time"

// overflowAfter is how long a top-tier ticket waits for a free slot before it
// goes past the limit. Another engine that holds a copy of it and has room
// answers within that time, which is several round trips between zones.
const overflowAfter = 20 * time.Millisecond

const (
	// urgentTier is the last of the tiers that slots are kept back for.
	urgentTier Tier = 1
	// reserveShare is one slot in eight, and one at least.
	reserveShare = 1.0 / 8
)

// slotsFor is how many runs may be on an engine, of a limit, for another one
// of a tier to start.
//
// It answers an urgent request that meets an engine full of long answers: the
// next slot may be seconds away, longer than its whole target. One slot in
// eight stays free of all but the two top tiers. The top tier may go past the
// limit by as much again, so that a burst in the second tier can't hold it up
// either, after a moment in which an engine that has room may take it; engines
// honour priority, and a run too many slows the others by little.
func slotsFor(t Tier, limit int) int {
	switch {
	case t == TopTier:
		return limit + reserveOf(limit)
	case t <= urgentTier:
		return limit
	default:
		return max(1, limit-reserveOf(limit))
	}
}

// reserveOf is how many slots are kept back.
func reserveOf(limit int) int {
	return max(1, int(float64(limit)*reserveShare))
}
