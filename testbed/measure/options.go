package measure

import (
	"io"
	"time"
)

// Options say what is measured.
type Options struct {
	// Mixes and Shapes are names of package scenarios.
	Mixes  []string
	Shapes []string
	// Targets are the system, the baselines and the engines themselves; see
	// Targets.
	Targets []string
	// Seeds is how many seeds each scenario is run with.
	Seeds int
	// Scale multiplies the phases' durations.
	Scale float64
	// Parallel is how many fleets run side by side.
	Parallel int
	// Patience is how long a caller waits.
	Patience time.Duration
	// ReturnWithin is how long a refused one waits before it comes back.
	ReturnWithin time.Duration
	// Progress takes a line for each run of load.
	Progress io.Writer
}
