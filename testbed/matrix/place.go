package matrix

import (
	"github.com/applepier/applepier/testbed/faultproxy"
	"github.com/applepier/applepier/testbed/fleet"
)

// place is where a fault strikes.
type place struct {
	rig   *rig
	entry *fleet.Entry
	agent int
}

func (p place) backend() *fleet.Backend { return p.rig.fleet.Backends[p.agent] }

func (p place) proxy() *faultproxy.Proxy { return p.rig.proxies[p.agent] }

// process is whom a fault of a kind hits.
func (p place) process(kind Kind) *fleet.Process {
	switch kind {
	case KillEntry, PauseEntry, StopEntry:
		return p.entry.Process
	case CutAnswer, KillService, KillEngine, PauseEngine, Straggler, Stall, CutStream, StaleLoad:
		return p.backend().Server.Process
	case PlatformDown, PlatformSlow, LostAnswer, ListLags:
		return p.rig.fleet.Platform.Process
	}
	return p.backend().Agent
}
