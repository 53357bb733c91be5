package zonerouting

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant for averaging a zone's demand. Gateways report averages
// over half a second: of a zone with 100 requests per second these differ from the mean by a seventh
// at random, which would move shares all the time.
const demandTimeConstant = 500 * time.Millisecond

// smoothedDemand is the average of a zone's demand.
type smoothedDemand struct {
	tokens  float64
	updated time.Time
}

// observe adds a value and returns the average. A demand of 0 counts at once: the zone's gateways
// are gone.
func (d *smoothedDemand) observe(now time.Time, demand float64) float64 {
	weight := 1.0
	if !d.updated.IsZero() && demand > 0 && d.tokens > 0 {
		weight = 1 - math.Exp(-float64(now.Sub(d.updated))/float64(demandTimeConstant))
	}
	d.tokens += weight * (demand - d.tokens)
	d.updated = now
	return d.tokens
}
