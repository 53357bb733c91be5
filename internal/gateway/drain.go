package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/callers"
	"github.com/applepier/applepier/internal/logging"
)

const (
	// drainDelay is how long a stopping gateway keeps accepting requests after its readiness check
	// begins to fail. The load balancer checks once a second and removes a VM after two failures.
	// At most half of the shutdown timeout is used.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is how long before the end of the shutdown timeout the remaining requests are
	// aborted. With a short timeout, it is limited to the timeout divided by shutdownMarginDivisor,
	// since a request aborted early is lost.
	shutdownMargin        = 400 * time.Millisecond
	shutdownMarginDivisor = 6
)

// drain makes the readiness check fail, serves new requests for drainDelay, and then waits until the
// requests in progress are complete. It aborts those that remain at the end of the shutdown timeout,
// less shutdownMargin; the router refuses those that would be among them.
func (g *gateway) drain(server *callers.Server) {
	start := time.Now()
	g.draining.Store(true)
	g.log.Info(logging.EventStopping)
	divertedAt := start.Add(min(drainDelay, g.settings.ShutdownTimeout/2))
	abortAt := start.Add(g.settings.ShutdownTimeout - min(shutdownMargin, g.settings.ShutdownTimeout/shutdownMarginDivisor))
	g.router.BeginShutdown(divertedAt, abortAt)
	time.Sleep(time.Until(divertedAt))
	ctx, cancel := context.WithDeadline(context.Background(), abortAt)
	defer cancel()
	if err := server.Drain(ctx); err != nil {
		g.log.Warn(logging.EventStopping, logging.Reason(err.Error()))
	}
}
