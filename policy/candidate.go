package policy

import (
	"math"
	"time"
)

// loadReportTimeConstant is over how long a report of load loses its worth: an engine
// turns over its batch in about that time.
const loadReportTimeConstant = 2 * time.Second

// Candidate is an engine as an entry last heard of it. The numbers may be
// stale, or absent when Seen is zero.
type Candidate struct {
	Name string
	Zone string
	// Waiting, Running and Limit are those of the agent's Load.
	Waiting int
	Running int
	Limit   int
	// Seen is when the numbers came; zero when none ever did.
	Seen time.Time
	// Leaving engines take no new work; Down ones can't be reached.
	Leaving bool
	Down    bool
}

// load is tickets and runs per slot.
func (c *Candidate) load() float64 {
	return float64(c.Waiting+c.Running) / float64(max(c.Limit, 1))
}

// expectedLoad is the load that the report lets expect now: the older it is,
// the more the mean of all counts in its place.
func (c *Candidate) expectedLoad(now time.Time, mean float64) float64 {
	if c.Seen.IsZero() {
		return mean
	}
	trust := math.Exp(-now.Sub(c.Seen).Seconds() / loadReportTimeConstant.Seconds())
	return mean + trust*(c.load()-mean)
}
