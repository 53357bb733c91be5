package measure

import (
	"github.com/applepier/applepier/testbed/load"
)

// Result is the result of one run of a scenario against one target.
type Result struct {
	Mix    string
	Shape  string
	Seed   uint64
	Target string
	Report *load.Report
	// Useful is the fraction of the engines' capacity spent on responses that
	// were on time, during the shape's peak phase.
	Useful float64
}

// peakPhase returns the phase with the shape's characteristic load: the second one,
// or the only one.
func peakPhase(report *load.Report) load.PhaseReport {
	return report.Phases[min(1, len(report.Phases)-1)]
}
