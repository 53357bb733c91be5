// Package demo demonstrates the system: it starts a small fleet of real processes,
// sends mixed load with a burst of one class, and reports the outcome for
// callers. Run is the main function.
package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/load"
	"github.com/applepier/applepier/testbed/loadfleet"
)

//go:embed mix.yaml
var mixYAML []byte

//go:embed shape.yaml
var shapeYAML []byte

const (
	// entryCount is the number of entries.
	entryCount = 3
	// maxRetryAfter is the longest Retry-After after which a refused caller retries.
	maxRetryAfter = 20 * time.Second
	// startTimeout bounds the start of all processes, excluding the build.
	startTimeout = time.Minute
	// shutdownTimeout bounds the graceful shutdown of all processes.
	shutdownTimeout = 30 * time.Second
)

// Options configures the demo.
type Options struct {
	// Seed seeds the random generation of requests.
	Seed uint64
	// Duration is how long requests are sent, excluding start and shutdown.
	Duration time.Duration
	// Out receives the results; Progress receives status messages.
	Out      io.Writer
	Progress io.Writer
}

// Run builds the programs and runs the demo. It returns an error if the demo
// can't run or if a process doesn't shut down gracefully.
func Run(ctx context.Context, options Options) error {
	scenario, err := load.ParseScenario(mixYAML, shapeYAML)
	if err != nil {
		return err
	}
	scenario = scenario.Scaled(float64(options.Duration) / float64(scenario.Duration()))
	_, _ = fmt.Fprintln(options.Progress, "building the programs")
	binaries, err := fleet.Build(ctx)
	if err != nil {
		return err
	}
	defer binaries.Remove()
	_, _ = fmt.Fprintln(options.Progress, "starting the fleet")
	running, err := startFleet(ctx, scenario.Mix, binaries)
	if err != nil {
		return err
	}
	defer running.Close()
	if err := runLoad(ctx, running, scenario, options); err != nil {
		return errors.Join(err, shutdown(running, options.Out))
	}
	return shutdown(running, options.Out)
}

func startFleet(ctx context.Context, mix load.Mix, binaries *fleet.Binaries) (*fleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return loadfleet.Start(ctx, mix, entryCount, binaries)
}

// runLoad runs the load and writes the result table to options.Out.
func runLoad(ctx context.Context, running *fleet.Fleet, scenario load.Scenario, options Options) error {
	_, _ = fmt.Fprintf(options.Out, "%d processes: platform, %d entries, %d backend servers with an agent each\n",
		len(running.Processes()), len(running.Entries), len(running.Backends))
	loadOptions := loadfleet.LoadOptions(running, scenario)
	loadOptions.Seed = options.Seed
	loadOptions.Target = "applepier"
	loadOptions.RetryRefused = true
	loadOptions.MaxRetryAfter = maxRetryAfter
	loadOptions.Progress = func(p load.Progress) { writeProgress(options.Progress, p) }
	report, err := load.Run(ctx, loadOptions)
	_, _ = fmt.Fprintln(options.Progress)
	if err != nil {
		return err
	}
	return report.WriteTable(options.Out)
}

func writeProgress(w io.Writer, p load.Progress) {
	_, _ = fmt.Fprintf(w, "\r%3.0f of %.0f s, %s: %d sent, %d ended   ",
		p.Elapsed.Seconds(), p.Total.Seconds(), p.Phase, p.Sent, p.Ended)
}

// shutdown terminates all processes with SIGTERM, also if the demo was interrupted.
func shutdown(running *fleet.Fleet, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := running.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "graceful shutdown on SIGTERM")
	}
	_, _ = fmt.Fprintf(out, "all %d processes shut down gracefully on SIGTERM\n", len(running.Processes()))
	return nil
}
