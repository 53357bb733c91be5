// Package measure runs load scenarios on real processes, against the system and
// against baseline routers in front of the same engines, and writes tables of what
// callers observed. Start reading at Run.
package measure

import (
	"context"
	"fmt"
	"sync"

	"github.com/sourcegraph/conc/pool"

	"github.com/applepier/applepier/testbed/fleet"
)

// Run starts a fleet for each mix and seed, and runs every shape on it against each
// target in turn. If a fleet fails, Run returns its error and the results so far.
func Run(ctx context.Context, options Options) ([]Result, error) {
	binaries, err := fleet.Build(ctx)
	if err != nil {
		return nil, err
	}
	defer binaries.Remove()
	var results resultList
	workers := pool.New().WithContext(ctx).WithMaxGoroutines(options.Parallel)
	for _, mix := range options.Mixes {
		for seed := range options.Seeds {
			r := &fleetRun{options: options, mix: mix, seed: uint64(seed) + 1, results: &results}
			workers.Go(func(ctx context.Context) error { return r.run(ctx, binaries) })
		}
	}
	err = workers.Wait()
	return results.results, err
}

// resultList collects the results of all fleets. It is safe for concurrent use.
type resultList struct {
	// mu guards results.
	mu      sync.Mutex
	results []Result
}

// add appends a result and reports it as progress.
func (l *resultList) add(options Options, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
	total := result.Report.Total
	_, _ = fmt.Fprintf(options.Progress, "%s seed %d %s: %d sent, %.1f%% on time, useful %.0f%%, wasted %.1f%%\n",
		result.Report.Scenario, result.Seed, result.Target, total.Sent, 100*total.Attainment, 100*result.Useful, 100*total.WastedShare)
}
