package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/settings"
)

// defaultDrainDelay is the bound on draining where operators set none.
const defaultDrainDelay = 2 * time.Second

// serverDrainDelay returns the time within which draining servers must get no more requests.
func serverDrainDelay(s settings.Gateway) time.Duration {
	if s.Drain.MaxDelay > 0 {
		return s.Drain.MaxDelay
	}
	return defaultDrainDelay
}

// serverListAge returns how long ago the list of backend servers was last known to be complete. Before
// the first confirmation it is the time since the VM's boot.
func (g *gateway) serverListAge() time.Duration { return boottime.Now() - g.servers.ConfirmedAt() }

// logServerListAge logs when the list's age exceeds the bound on draining, and when it no longer
// does. It is called by one goroutine only.
func (g *gateway) logServerListAge() {
	age := g.serverListAge()
	old := age > time.Duration(g.serverDrainDelay.Load())
	if old == g.serverListOld || g.servers.Position() == 0 {
		return
	}
	g.serverListOld = old
	if old {
		g.log.Warn(logging.EventServerListOld, zap.Duration("age", age), zap.Stringer("position", g.servers.Position()), zap.Bool("polling", g.servers.Live()))
		return
	}
	g.log.Info(logging.EventServerListConfirmed, zap.Stringer("position", g.servers.Position()))
}
