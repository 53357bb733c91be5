package policy

import "strconv"

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

// String is the outcome's name, as the time line shows it.
func (o Outcome) String() string {
	switch o {
	case OutcomeWhole:
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
