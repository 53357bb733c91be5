// Package measure runs scenarios of load on real processes, against the
// system and against the baselines before the same engines, and writes what
// callers got as tables. Start reading at Run.
package measure

import (
	"context"
	"fmt"
	"sync"

	"github.com/sourcegraph/conc/pool"

	"github.com/applepier/applepier/testbed/fleet"
)

// Run starts a fleet for each mix and seed, and plays every shape on it with
// each target in turn. The rounds that were done are returned also with an
// error.
func Run(ctx context.Context, options Options) ([]Round, error) {
	binaries, err := fleet.Build(ctx)
	if err != nil {
		return nil, err
	}
	defer binaries.Remove()
	var results collected
	group := pool.New().WithContext(ctx).WithMaxGoroutines(options.Parallel)
	for _, mix := range options.Mixes {
		for seed := range options.Seeds {
			s := &series{options: options, mix: mix, seed: uint64(seed) + 1, results: &results}
			group.Go(func(ctx context.Context) error { return s.run(ctx, binaries) })
		}
	}
	err = group.Wait()
	return results.rounds, err
}

// collected gathers the rounds of all series.
type collected struct {
	// mu guards rounds.
	mu     sync.Mutex
	rounds []Round
}

func (c *collected) add(options Options, round Round) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rounds = append(c.rounds, round)
	total := round.Report.Total
	_, _ = fmt.Fprintf(options.Progress, "%s seed %d %s: %d sent, %.1f%% on time, useful %.0f%%, wasted %.1f%%\n",
		round.Report.Scenario, round.Seed, round.Target, total.Sent, 100*total.Attainment, 100*round.Useful, 100*total.WastedShare)
}
