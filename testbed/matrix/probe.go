package matrix

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

const (
	// recoveryTimeout is the time after the end of the faults within which every
	// class must be served again. Connections are redialed at least every 2 s and
	// an ejected agent returns within seconds; the rest is margin for a busy machine.
	recoveryTimeout = 30 * time.Second
	probeTokens     = 5
)

// probe checks that every class is served again through every running entry.
// Attempts before the first success are recorded as ordinary calls.
func (h *harness) probe(ctx context.Context) {
	var wg conc.WaitGroup
	for _, entry := range h.fleet.Entries {
		if !entry.Running() {
			continue
		}
		for _, class := range classes() {
			wg.Go(func() { h.probeClass(ctx, class.Name, entry) })
		}
	}
	wg.Wait()
}

// probeClass calls one class through one entry until it is served or
// recoveryTimeout has passed. Only the last call counts as a probe.
func (h *harness) probeClass(ctx context.Context, class string, entry *fleet.Entry) {
	deadline := time.Now().Add(recoveryTimeout)
	for {
		call := callerRequest{class: class, marker: h.newMarker("probe-" + class), tokens: probeTokens, customer: customerSmall}.send(ctx, entry)
		call.Probe = call.Outcome == history.OutcomeComplete || time.Now().After(deadline)
		h.recorder.Call(call)
		if call.Probe || !h.waitPollInterval(ctx, nil) {
			return
		}
	}
}
