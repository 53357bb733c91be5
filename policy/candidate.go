package policy

import (
	"math"
	"time"
)

// loadReportTimeConstant is the time in which the weight of a load report decays to
// 1/e: an engine replaces the requests of its batch in about that time.
const loadReportTimeConstant = 2 * time.Second

// Candidate is the last known state of an engine at an entry. The numbers may be stale,
// or absent if ReportedAt is zero.
type Candidate struct {
	Name string
	Zone string
	// Waiting, Running and Limit are those of the agent's Load.
	Waiting int
	Running int
	Limit   int
	// ReportedAt is when the numbers were received; zero if they never were.
	ReportedAt time.Time
	// Draining engines accept no new work; Down engines can't be reached.
	Draining bool
	Down     bool
	// Version is the engine's software version; empty if it reports none.
	Version string
}

// load returns the number of waiting and running requests per slot.
func (c *Candidate) load() float64 {
	return float64(c.Waiting+c.Running) / float64(max(c.Limit, 1))
}

// expectedLoad estimates the current load per slot. With the age of the report the
// estimate moves from the reported load to mean, the mean load of the eligible candidates.
func (c *Candidate) expectedLoad(now time.Time, mean float64) float64 {
	if c.ReportedAt.IsZero() {
		return mean
	}
	weight := math.Exp(-now.Sub(c.ReportedAt).Seconds() / loadReportTimeConstant.Seconds())
	return mean + weight*(c.load()-mean)
}
