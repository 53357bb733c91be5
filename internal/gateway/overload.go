package gateway

import (
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/overload"
)

// refuseWhileOverloaded returns a function that reports whether a new connection is refused, because
// this process gets too little processor time to serve more requests in time. It counts the refused
// connections, and logs when refusing begins and ends.
func (g *gateway) refuseWhileOverloaded() func() bool {
	monitor := overload.New(func(refusing bool) {
		if refusing {
			g.log.Warn(logging.EventOverloaded)
		} else {
			g.log.Info(logging.EventOverloadEnded)
		}
	})
	return func() bool {
		refused := monitor.Refuse()
		if refused {
			g.platform.Metrics.ConnectionRefused()
		}
		return refused
	}
}
