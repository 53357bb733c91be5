package policy

// Milestone is the event in the life of a request that its deadline applies to.
type Milestone int

// The milestones. A Scheduler subtracts the time that its own engine needs from
// the start of a run to the milestone; an entry doesn't know that time.
const (
	// MilestoneStart is the start of the run.
	MilestoneStart Milestone = iota
	// MilestoneFirstToken is the arrival of the first token.
	MilestoneFirstToken
	// MilestoneCompletion is the arrival of the complete response.
	MilestoneCompletion
)
