// Package demo shows the system at work: it starts a small fleet of real
// processes, sends it mixed load with a burst of one class, and tells what
// callers got. Start reading at Run.
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
var mixText []byte

//go:embed shape.yaml
var shapeText []byte

const (
	// entries is how many entries there are.
	entries = 3
	// returnWithin is how long a refused caller waits before it comes back.
	returnWithin = 20 * time.Second
	// startLimit bounds the start of all processes, without the build.
	startLimit = time.Minute
	// endLimit is how long the processes may take to end by themselves.
	endLimit = 30 * time.Second
)

// Options say what the demo does.
type Options struct {
	// Seed draws the requests.
	Seed uint64
	// Duration is how long requests are sent.
	Duration time.Duration
	// Out takes what is found, Progress what goes on.
	Out      io.Writer
	Progress io.Writer
}

// Run builds the programs and runs the demo. It returns an error when a
// process did not end by itself.
func Run(ctx context.Context, options Options) error {
	scenario, err := load.ParseScenario(mixText, shapeText)
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
	running, err := start(ctx, scenario.Mix, binaries)
	if err != nil {
		return err
	}
	defer running.Close()
	if err := send(ctx, running, scenario, options); err != nil {
		return errors.Join(err, end(running, options.Out))
	}
	return end(running, options.Out)
}

func start(ctx context.Context, mix load.Mix, binaries *fleet.Binaries) (*fleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	return loadfleet.Start(ctx, mix, entries, binaries)
}

// send sends the load and writes the table.
func send(ctx context.Context, running *fleet.Fleet, scenario load.Scenario, options Options) error {
	_, _ = fmt.Fprintf(options.Out, "%d processes: platform, %d entries, %d backend servers with an agent each\n",
		len(running.Processes()), len(running.Entries), len(running.Backends))
	target := loadfleet.Target(running, scenario)
	target.Seed = options.Seed
	target.Target = "applepier"
	target.CheckRetryAfter = true
	target.ReturnWithin = returnWithin
	target.Progress = func(p load.Progress) { writeProgress(options.Progress, p) }
	report, err := load.Run(ctx, target)
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

// end ends all processes by SIGTERM, also when the demo was interrupted.
func end(running *fleet.Fleet, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), endLimit)
	defer cancel()
	if err := running.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "did not end by itself on SIGTERM")
	}
	_, _ = fmt.Fprintf(out, "all %d processes ended by themselves on SIGTERM\n", len(running.Processes()))
	return nil
}
