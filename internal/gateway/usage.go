package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/gateway/peers"
	"github.com/applepier/applepier/internal/gateway/usage"
)

// peerUsage returns the functions for exchanging usage with other gateways; nil if usage reporting
// is disabled.
func (g *gateway) peerUsage() *peers.Usage {
	if !g.settings.Usage.Reported() {
		return nil
	}
	return &peers.Usage{
		Holds:    func() bool { return g.usage.Holds() },
		Update:   func(acknowledged uint64) usage.Update { return g.usage.Counter.Update(acknowledged) },
		Merge:    func(now time.Time, from usage.Source, u usage.Update) { g.usage.Aggregate.Merge(now, from, u) },
		Sequence: func(from usage.Source) uint64 { return g.usage.Aggregate.Sequence(from) },
	}
}

// initUsage creates the usage reporter and returns its counter; nil if usage reporting is disabled.
func (g *gateway) initUsage() *usage.Counter {
	usageSettings := g.settings.Usage
	if !usageSettings.Reported() {
		return nil
	}
	g.usage = usage.NewReporter(usage.Config{
		Name: g.settings.Process, Start: g.mesh.Start(),
		Windows: usage.Windows{Length: usageSettings.Window}, Delay: usageSettings.Delay, LeaseTime: usageSettings.Lease,
		Table: g.platform.Duties, Platform: g.platform.Usage, Now: g.mesh.Time, Others: g.mesh,
		Able: func() bool { return !g.storeHealth.Away() && !g.draining.Load() }, Observer: g.platform.Metrics.Usage(), Log: g.log,
	})
	return g.usage.Counter
}

// reportUsage takes part in usage reporting until ctx ends.
func (g *gateway) reportUsage(ctx context.Context) {
	if g.usage != nil {
		g.usage.Run(ctx)
	}
}
