package policy

import "strconv"

// Outcome is how a run ended.
type Outcome int

// Outcomes of a run.
const (
	// OutcomeComplete means that the response was complete.
	OutcomeComplete Outcome = iota + 1
	// OutcomeFailed means that the engine failed the run.
	OutcomeFailed
	// OutcomeCancelled means that the run was cancelled, by its caller or by the system.
	OutcomeCancelled
	// OutcomeLapsed means that the grant expired unused.
	OutcomeLapsed
)

// String returns the outcome's name, as shown in the timeline.
func (o Outcome) String() string {
	switch o {
	case OutcomeComplete:
		return "whole"
	case OutcomeFailed:
		return "failed"
	case OutcomeCancelled:
		return "cancelled"
	case OutcomeLapsed:
		return "lapsed"
	default:
		return "unknown outcome " + strconv.Itoa(int(o))
	}
}
