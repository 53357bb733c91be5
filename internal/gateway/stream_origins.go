package gateway

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/policy"
)

// minStreamLifetime is the least time for which a stream's origin is kept. A caller may resume a stream
// after a request that took the whole of its route's timeout, and wait before that.
const minStreamLifetime = time.Minute

// streamLifetime returns how long a stream lasts at most, with all resumptions.
func (g *gateway) streamLifetime() time.Duration {
	lifetime := minStreamLifetime
	if snapshot := g.holder.Current(); snapshot != nil {
		lifetime = max(lifetime, 2*snapshot.LongestStream())
	}
	return lifetime
}

// versionsOf returns the software versions that a service has had for as long as a stream lasts. The
// only one isn't known to a gateway that is cut off from the store, since others may have been listed
// meanwhile.
func (g *gateway) versionsOf(service policy.Key) backend.Versions {
	versions := g.registry.VersionsWithin(time.Now(), service, g.streamLifetime())
	if g.holder.ConfirmedAt() == 0 || g.confirmationOverdue() {
		versions.Only = 0
	}
	return versions
}
