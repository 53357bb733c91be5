package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/callers"
	"github.com/applepier/applepier/internal/logging"
)

const (
	// drainDelay is how long a stopping gateway keeps accepting requests after its health check
	// begins to fail. The load balancer checks once a second and removes a VM after two failures.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is how long before the end of the grace period the requests in progress are
	// aborted. Where the grace period is short, it is limited to the grace period divided by
	// shutdownMarginDivisor, since a request aborted early is lost.
	shutdownMargin        = 400 * time.Millisecond
	shutdownMarginDivisor = 6
)

// drain completes the requests in progress within the grace period.
func (g *gateway) drain(server *callers.Server) {
	start := time.Now()
	g.draining.Store(true)
	g.log.Info(logging.EventStopping)
	time.Sleep(min(drainDelay, g.settings.ShutdownTimeout/2))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(g.settings.ShutdownTimeout-min(shutdownMargin, g.settings.ShutdownTimeout/shutdownMarginDivisor)))
	defer cancel()
	if err := server.Drain(ctx); err != nil {
		g.log.Warn(logging.EventStopping, logging.Reason(err.Error()))
	}
}
