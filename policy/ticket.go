package policy

import "time"

// Ticket is a request that waits for an engine to have room. It is small; the
// request's body stays at the entry.
type Ticket struct {
	// ID is unique among the tickets of one engine: request and attempt.
	ID string
	// Class and Customer name whom the work is for.
	Class    string
	Customer string
	// Tier is the class's priority.
	Tier Tier
	// Arrived is when this engine's queue took the ticket.
	Arrived time.Time
	// Deadline is when the class's target requires Due to be reached.
	Deadline time.Time
	// Due is what Deadline is for; when unset, that work has started.
	Due Milestone
	// Size is the estimated work in tokens, prompt and answer together.
	Size int
	// Copies is at how many engines the request holds a ticket; it will run
	// on one of them.
	Copies int
	// Asks is at how many engines, one after the other, the request gets a
	// ticket before it is refused for good; zero when that is as many as
	// Copies. Each promises its part of the work to the caller.
	Asks int
	// Preemptible says that the run may be cancelled for an urgent one and
	// resumed later; never set for work that may not be repeated.
	Preemptible bool
	// FirstToken and BetweenTokens are the class's targets; zero means none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// asks is at how many engines the request gets a ticket in all.
func (t *Ticket) asks() int {
	if t.Asks > 0 {
		return t.Asks
	}
	return max(t.Copies, 1)
}
