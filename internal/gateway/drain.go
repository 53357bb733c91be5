package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/callers"
	"github.com/applepier/applepier/internal/logging"
)

const (
	// drainNotice is how long a gateway that leaves goes on taking requests
	// after its health check has begun to fail: the balancer asks once a
	// second and takes a VM out after two misses.
	drainNotice = 2500 * time.Millisecond
	// endMargin is how long before the end of the grace period whatever still
	// runs is broken off, and endPart the part of a short one that this may take
	// at the most: what is broken off sooner counts as lost.
	endMargin = 400 * time.Millisecond
	endPart   = 6
)

// drain ends what is in progress within the grace period.
func (g *gateway) drain(front *callers.Server) {
	began := time.Now()
	g.leaving.Store(true)
	g.log.Info(logging.EventStopping)
	time.Sleep(min(drainNotice, g.settings.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.settings.Grace-min(endMargin, g.settings.Grace/endPart)))
	defer cancel()
	if err := front.Drain(ctx); err != nil {
		g.log.Warn(logging.EventStopping, logging.Reason(err.Error()))
	}
}
