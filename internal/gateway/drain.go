package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/callers"
	"github.com/applepier/applepier/internal/logging"
)

const (
	// drainDelay is how long a gateway that leaves goes on taking requests
	// after its health check has begun to fail: the balancer asks once a
	// second and takes a VM out after two misses.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is how long before the end of the grace period whatever still
	// runs is broken off, and endPart the part of a short one that this may take
	// at the most: what is broken off sooner counts as lost.
	shutdownMargin        = 400 * time.Millisecond
	shutdownMarginDivisor = 6
)

// drain ends what is in progress within the grace period.
func (g *gateway) drain(server *callers.Server) {
	start := time.Now()
	g.draining.Store(true)
	g.log.Info(logging.EventStopping)
	time.Sleep(min(drainDelay, g.settings.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(g.settings.Grace-min(shutdownMargin, g.settings.Grace/shutdownMarginDivisor)))
	defer cancel()
	if err := server.Drain(ctx); err != nil {
		g.log.Warn(logging.EventStopping, logging.Reason(err.Error()))
	}
}
