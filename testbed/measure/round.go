package measure

import (
	"github.com/applepier/applepier/testbed/load"
)

// Round is one run of a scenario against one target.
type Round struct {
	Mix    string
	Shape  string
	Seed   uint64
	Target string
	Report *load.Report
	// Useful is the part of the engines' capacity that went into answers on
	// time while the shape was at its height.
	Useful float64
}

// height is the phase that a shape is about: the second, or the only one.
func height(report *load.Report) load.PhaseReport {
	return report.Phases[min(1, len(report.Phases)-1)]
}
