package policy

import "time"

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
