package measure

import (
	"io"
	"time"
)

// Options configures a measurement.
type Options struct {
	// Mixes and Shapes are names from package scenarios.
	Mixes  []string
	Shapes []string
	// Targets are names of targets; see the function Targets.
	Targets []string
	// Seeds is the number of seeds that each scenario is run with.
	Seeds int
	// Scale multiplies the durations of the phases.
	Scale float64
	// Parallel is the number of fleets that run concurrently.
	Parallel int
	// CallerTimeout is how long a caller waits for the end of its response.
	CallerTimeout time.Duration
	// MaxRetryAfter is the longest retry delay that a refused caller obeys; it
	// doesn't retry after a longer one.
	MaxRetryAfter time.Duration
	// Progress receives one line for each result.
	Progress io.Writer
}
