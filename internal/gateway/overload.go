package gateway

import (
	"time"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/overload"
)

// pauseWhileOverloaded returns a function that returns for how long new connections are refused now,
// because this process gets too little processor time to serve more requests in time. It counts the
// time, and logs when refusing begins and ends.
func (g *gateway) pauseWhileOverloaded() func() time.Duration {
	monitor := overload.New(func(refusing bool) {
		if refusing {
			g.log.Warn(logging.EventOverloaded)
		} else {
			g.log.Info(logging.EventOverloadEnded)
		}
	})
	return func() time.Duration {
		pause := monitor.Pause()
		if pause > 0 {
			g.platform.Metrics.ConnectionsRefusedFor(pause)
		}
		return pause
	}
}
