package matrix

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

const (
	// recoverLimit is how long after the faults a class may still fail to be
	// served: connections are dialled anew every 2 s at most, an agent that
	// was ejected comes back within seconds, and a busy machine needs room.
	recoverLimit = 30 * time.Second
	probeTokens  = 5
)

// probe checks that every class is served again through every entry. Attempts
// before the first success are ordinary calls.
func (r *rig) probe(ctx context.Context) {
	var wg conc.WaitGroup
	for _, entry := range r.fleet.Entries {
		if !entry.Running() {
			continue
		}
		for _, class := range classes() {
			wg.Go(func() { r.probeClass(ctx, class.Name, entry) })
		}
	}
	wg.Wait()
}

func (r *rig) probeClass(ctx context.Context, class string, entry *fleet.Entry) {
	due := time.Now().Add(recoverLimit)
	for {
		call := ask{class: class, marker: r.mark("probe-" + class), tokens: probeTokens, customer: customerSmall}.send(ctx, entry)
		call.Probe = call.Told == history.ToldWhole || time.Now().After(due)
		r.recorder.Call(call)
		if call.Probe || !r.pause(ctx, nil) {
			return
		}
	}
}
