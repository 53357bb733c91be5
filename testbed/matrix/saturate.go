package matrix

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/engine"
)

const (
	// maxFillers bounds the number of long requests that keep the engines busy
	// so that a ticket waits.
	maxFillers   = 64
	fillerTokens = 40
	// fillerSlowdown is the factor by which the engines are slowed down, so that
	// the fillers keep running.
	fillerSlowdown = 40
	// fillerStatusWait is how long a filler may take to show in the agents' status.
	fillerStatusWait = 50 * time.Millisecond
	// restoreTimeout bounds the call to an engine that may be paused.
	restoreTimeout = time.Second
)

// saturateEngines keeps all engines busy until restoreEngines is called, so that
// a ticket waits. It fails if some agent still has no waiting ticket.
func (h *harness) saturateEngines(ctx context.Context) error {
	for _, backend := range h.fleet.Backends {
		if err := backend.Server.SetEngineKnobs(ctx, engine.Knobs{Slowdown: fillerSlowdown}); err != nil {
			return err
		}
	}
	for n := range maxFillers {
		if h.allAgentsWaiting() {
			return nil
		}
		filler := callerRequest{class: classNote, marker: h.newMarker("filler"), tokens: fillerTokens, customer: customerSmall}
		h.calls.Go(func() { h.call(ctx, filler, h.pickEntry(n)) })
		waitCtx, cancel := context.WithTimeout(ctx, fillerStatusWait)
		pollUntil(waitCtx, h.allAgentsWaiting)
		cancel()
	}
	if !h.allAgentsWaiting() {
		return errors.Errorf("not every agent has waiting tickets after %d requests", maxFillers)
	}
	return nil
}

// restoreEngines lets the engines run at full speed again, except for those that
// an injected fault affects.
func (h *harness) restoreEngines(ctx context.Context, active []*fault) {
	for _, backend := range h.fleet.Backends {
		if affects(active, backend.Server.Name) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, restoreTimeout)
		// An engine that is gone needs no reset.
		_ = backend.Server.SetEngineKnobs(callCtx, healthyEngine)
		cancel()
	}
}

// affects reports whether one of the faults was injected into the process.
func affects(faults []*fault, process string) bool {
	for _, f := range faults {
		if f.record.Process == process {
			return true
		}
	}
	return false
}
