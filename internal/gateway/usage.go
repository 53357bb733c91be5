package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/gateway/peers"
	"github.com/applepier/applepier/internal/gateway/usage"
)

// usageExchange returns the functions for exchanging usage with other gateways; nil if usage
// reporting is disabled.
func (g *gateway) usageExchange() *peers.UsageExchange {
	if !g.settings.UsageReporting.Enabled() {
		return nil
	}
	return &peers.UsageExchange{
		IsReporter:     func() bool { return g.usage.HoldsLease() },
		UpdateSince:    func(acknowledged uint64) usage.Update { return g.usage.Counter.UpdateSince(acknowledged) },
		Merge:          func(now time.Time, from usage.Source, u usage.Update) { g.usage.Aggregator.Merge(now, from, u) },
		MergedSequence: func(from usage.Source) uint64 { return g.usage.Aggregator.MergedSequence(from) },
	}
}

// initUsage creates the usage reporter and returns its counter; nil if usage reporting is disabled.
func (g *gateway) initUsage() *usage.Counter {
	usageSettings := g.settings.UsageReporting
	if !usageSettings.Enabled() {
		return nil
	}
	g.usage = usage.NewReporter(usage.Config{
		Name: g.settings.Process, BootID: g.mesh.BootID(),
		Windows: usage.Windows{Length: usageSettings.Window}, Delay: usageSettings.Delay, LeaseTime: usageSettings.Lease,
		Table: g.platform.Duties, Platform: g.platform.Usage, Now: g.mesh.MedianTime, Peers: g.mesh,
		Eligible: func() bool { return !g.storeHealth.Unavailable() && !g.draining.Load() }, Observer: g.platform.Metrics.UsageReports(), Log: g.log,
	})
	return g.usage.Counter
}

// reportUsage takes part in usage reporting until ctx ends.
func (g *gateway) reportUsage(ctx context.Context) {
	if g.usage != nil {
		g.usage.Run(ctx)
	}
}
