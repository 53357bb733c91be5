package gateway

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/policy"
)

const (
	// minRecordTTL is the least time for which the origin of a stream is recorded.
	minRecordTTL = time.Minute
	// listCheckInterval is the time between two checks of whether the list of backend servers is confirmed.
	listCheckInterval = 50 * time.Millisecond
)

// streamLifetime returns how long a stream lasts at most, with all resumptions. A caller's first
// request takes up to its route's timeout, and so does the one with which the caller resumes it. The
// timeout may have been longer when the stream began.
func (g *gateway) streamLifetime() time.Duration {
	timeout := router.DefaultTimeout
	if snapshot := g.holder.Current(); snapshot != nil && snapshot.LongestStream() > 0 {
		timeout = snapshot.LongestStream()
	}
	return 2 * max(timeout, g.router.LongestStreamWait())
}

// recordTTL returns for how long the origin of a stream is recorded.
func (g *gateway) recordTTL() time.Duration { return max(g.streamLifetime(), minRecordTTL) }

// versionsWithin returns the software versions that a service has had within a window. The only one isn't
// known to a gateway that is cut off from the store, since others may have been listed meanwhile. The list of
// servers may be older than the desired state.
func (g *gateway) versionsWithin(service policy.Key, window time.Duration) backend.Versions {
	versions := g.registry.VersionsWithin(time.Now(), service, window)
	if g.holder.ConfirmedAt() == 0 || g.confirmationOverdue() || g.serverListOverdue() {
		versions.Only = 0
	}
	return versions
}

// awaitServerList waits until the list of backend servers is known to have been complete at the given time, and
// reports whether it is. It gives up after the time that a confirmation takes while the gateways that poll the
// store receive responses, or when ctx ends.
func (g *gateway) awaitServerList(ctx context.Context, at time.Time) bool {
	asOf := boottime.Now() - time.Since(at)
	ctx, cancel := context.WithTimeout(ctx, g.serverListOverdueAge())
	defer cancel()
	for g.servers.ConfirmedAt() < asOf {
		if !pause.Sleep(ctx, listCheckInterval) {
			return false
		}
	}
	return true
}
