package policy

import "time"

// Ticket represents a request that waits for a slot on an engine. It is small:
// the body of the request stays at the entry.
type Ticket struct {
	// ID identifies the request and the attempt; it is unique among the tickets
	// of one engine.
	ID string
	// Class and Customer are the class of the request and the customer that sent
	// it.
	Class    string
	Customer string
	// Tier is the priority of the class.
	Tier Tier
	// Arrived is when the ticket entered the queue of this engine.
	Arrived time.Time
	// Deadline is when the milestone must be reached to meet the target of the
	// class; zero means no target.
	Deadline time.Time
	// DeadlineMilestone is the milestone that Deadline applies to; the zero value
	// is MilestoneStart.
	DeadlineMilestone Milestone
	// Size is the estimated work in tokens, prompt and response together.
	Size int
	// Copies is the number of engines that hold a ticket for the request at the
	// same time; the request runs on one of them.
	Copies int
	// MaxEngines is the number of engines that are offered a ticket, in parallel
	// or one after the other, before the request is finally refused; zero means
	// Copies. Each of them accounts for its share of the work when it computes
	// RetryAfter.
	MaxEngines int
	// Preemptible allows the run to be cancelled for an urgent request and
	// resumed later. It is never set for work that must not be repeated.
	Preemptible bool
	// FirstToken and BetweenTokens are the targets of the class for the time to
	// the first token and the time between tokens; zero means none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// engineCount returns the number of engines that are offered a ticket for the
// request, at least 1.
func (t *Ticket) engineCount() int {
	if t.MaxEngines > 0 {
		return t.MaxEngines
	}
	return max(t.Copies, 1)
}
