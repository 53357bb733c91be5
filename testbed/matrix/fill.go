package matrix

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/engine"
)

const (
	// fillers is how many long answers at most keep the engines busy so that
	// a ticket waits.
	fillers      = 64
	fillerTokens = 40
	// fillerSlowness keeps them running.
	fillerSlowness = 40
	// fillerPause is how long a filler has to show in the agents' status.
	fillerPause = 50 * time.Millisecond
	// calmLimit bounds the call to an engine that may be paused.
	calmLimit = time.Second
)

// fillEngines keeps all engines busy until calmEngines, so that a ticket
// waits.
func (r *rig) fillEngines(ctx context.Context) error {
	for _, backend := range r.fleet.Backends {
		if err := backend.Server.SetEngineKnobs(ctx, engine.Knobs{Slow: fillerSlowness}); err != nil {
			return err
		}
	}
	for n := range fillers {
		if r.allWaiting() {
			return nil
		}
		filler := ask{class: classNote, marker: r.mark("filler"), tokens: fillerTokens, customer: customerSmall}
		r.calls.Go(func() { r.call(ctx, filler, r.pick(n)) })
		limit, cancel := context.WithTimeout(ctx, fillerPause)
		until(limit, r.allWaiting)
		cancel()
	}
	if !r.allWaiting() {
		return errors.New("the engines have room for everything")
	}
	return nil
}

// calmEngines lets the engines run at full speed again, but for those that a
// fault in force has hit.
func (r *rig) calmEngines(ctx context.Context, inForce []*fault) {
	for _, backend := range r.fleet.Backends {
		if hits(inForce, backend.Server.Name) {
			continue
		}
		limit, cancel := context.WithTimeout(ctx, calmLimit)
		// An engine that has left needs none.
		_ = backend.Server.SetEngineKnobs(limit, healthyEngine)
		cancel()
	}
}

func hits(faults []*fault, process string) bool {
	for _, f := range faults {
		if f.note.Process == process {
			return true
		}
	}
	return false
}
