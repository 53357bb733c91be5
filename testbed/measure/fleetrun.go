package measure

import (
	"context"
	"time"

	"github.com/applepier/applepier/testbed/baseline"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/load"
	"github.com/applepier/applepier/testbed/loadfleet"
	"github.com/applepier/applepier/testbed/scenarios"
)

const (
	// entryCount is the number of entries in a fleet.
	entryCount = 3
	// startTimeout bounds the start of a fleet.
	startTimeout = 90 * time.Second
	// quietShape is the shape at which the router's added latency is measured.
	quietShape = "quiet"
)

// Targets besides the baselines: the system, and the engines without a router.
const (
	targetApplepier = "applepier"
	targetDirect    = "direct"
)

// fleetRun runs all shapes of a mix with one seed on one fleet.
type fleetRun struct {
	options Options
	mix     string
	seed    uint64
	results *resultList
}

// run starts the fleet and runs all shapes on it.
func (r *fleetRun) run(ctx context.Context, binaries *fleet.Binaries) error {
	first, err := scenarios.Load(r.mix, r.options.Shapes[0])
	if err != nil {
		return err
	}
	running, err := r.start(ctx, first.Mix, binaries)
	if err != nil {
		return err
	}
	defer running.Close()
	for _, shape := range r.options.Shapes {
		if err := r.runShape(ctx, running, shape); err != nil {
			return err
		}
	}
	return nil
}

func (r *fleetRun) start(ctx context.Context, mix load.Mix, binaries *fleet.Binaries) (*fleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return loadfleet.Start(ctx, mix, entryCount, binaries)
}

// runShape runs one shape against each target in turn.
func (r *fleetRun) runShape(ctx context.Context, running *fleet.Fleet, shape string) error {
	scenario, err := scenarios.Load(r.mix, shape)
	if err != nil {
		return err
	}
	target := loadfleet.LoadOptions(running, scenario.Scaled(r.options.Scale))
	target.Seed = r.seed
	target.RequestTimeout = r.options.CallerTimeout
	target.MaxRetryAfter = r.options.MaxRetryAfter
	for _, name := range r.options.Targets {
		if name == targetDirect && shape != quietShape {
			continue
		}
		if err := r.runTarget(ctx, shape, name, target); err != nil {
			return err
		}
	}
	return nil
}

// Targets returns the names of all targets in the order in which they run: the
// system, the engines called directly, and the baselines. The engines are called
// directly only in the shape "quiet".
func Targets() []string {
	return append([]string{targetApplepier, targetDirect}, baseline.Names()...)
}

// runTarget runs the load against one target and adds the result.
func (r *fleetRun) runTarget(ctx context.Context, shape, name string, options load.Options) error {
	options.Target = name
	switch name {
	case targetApplepier:
		options.RetryRefused = true
	case targetDirect:
		options.Entries = options.Engines
	default:
		router, err := baseline.Start(name, options.Engines, options.Scenario.Mix.Fleet.Capacity)
		if err != nil {
			return err
		}
		defer router.Close()
		options.Entries = []string{router.URL}
	}
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	r.results.add(r.options, Result{
		Mix:    r.mix,
		Shape:  shape,
		Seed:   r.seed,
		Target: name,
		Report: report,
		Useful: options.Scenario.UsefulCapacityShare(peakPhase(report)),
	})
	return nil
}
