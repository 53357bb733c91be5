package gateway

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/policy"
)

// minRecordTTL is the least time for which the origin of a stream is recorded.
const minRecordTTL = time.Minute

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
// known to a gateway that is cut off from the store, since others may have been listed meanwhile.
func (g *gateway) versionsWithin(service policy.Key, window time.Duration) backend.Versions {
	versions := g.registry.VersionsWithin(time.Now(), service, window)
	if g.holder.ConfirmedAt() == 0 || g.confirmationOverdue() {
		versions.Only = 0
	}
	return versions
}
