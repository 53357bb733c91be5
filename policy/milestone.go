package policy

// Milestone is a moment in a request's life that a deadline may be for.
type Milestone int

// Milestones. A Scheduler takes off the time that its own engine needs from
// the start to the milestone, which an entry can't know.
const (
	// MilestoneStart: work has started.
	MilestoneStart Milestone = iota
	// MilestoneFirstToken: the first token has come.
	MilestoneFirstToken
	// MilestoneCompletion: the whole answer has come.
	MilestoneCompletion
)
