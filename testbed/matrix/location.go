package matrix

import (
	"github.com/applepier/applepier/testbed/faultproxy"
	"github.com/applepier/applepier/testbed/fleet"
)

// location is where a fault is injected.
type location struct {
	harness *harness
	entry   *fleet.Entry
	agent   int // index in fleet.Backends
}

func (l location) backend() *fleet.Backend { return l.harness.fleet.Backends[l.agent] }

func (l location) proxy() *faultproxy.Proxy { return l.harness.proxies[l.agent] }

// process returns the process that a fault of the kind affects.
func (l location) process(kind FaultKind) *fleet.Process {
	switch kind {
	case KillEntry, PauseEntry, StopEntry:
		return l.entry.Process
	case CutResponse, KillService, KillEngine, PauseEngine, Straggler, Stall, CutStream, StaleLoad:
		return l.backend().Server.Process
	case PlatformDown, PlatformSlow, LostResponse, ListLags:
		return l.harness.fleet.Platform.Process
	}
	return l.backend().Agent
}
