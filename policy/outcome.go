package policy

// Outcome says how a run ended.
type Outcome int

// Outcomes of a run.
const (
	// OutcomeWhole: the whole answer was given.
	OutcomeWhole Outcome = iota + 1
	// OutcomeFailed: the engine failed it.
	OutcomeFailed
	// OutcomeCancelled: the caller or the router ended it.
	OutcomeCancelled
	// OutcomeLapsed: the grant was never taken up.
	OutcomeLapsed
)
