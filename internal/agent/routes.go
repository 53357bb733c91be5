package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/applepier/applepier/internal/auth"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/peer"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

// vmListInterval is the time between two reads of the VM list. The agent
// reads it to learn that its own VM is draining even if no entry reports that,
// and to pass the list on to new VMs.
const vmListInterval = 5 * time.Second

func (a *Agent) routes() http.Handler {
	system := auth.RequireSystemKey(a.systemKey)
	router := httprouter.New()
	router.Handler(http.MethodGet, wire.ConnectPath, system(http.HandlerFunc(a.serveConnect)))
	router.Handler(http.MethodPost, wire.RunPath, system(http.HandlerFunc(a.serveRun)))
	router.Handler(http.MethodGet, peer.StatePath, system(peer.StateHandler(a.peerState)))
	router.Handler(http.MethodGet, peer.VersionPath, system(peer.VersionHandler(a.peerVersion)))
	router.Handler(http.MethodGet, timeline.PathEvents, system(timeline.Handler(a.events)))
	metrics.Register(router, a.metrics, a.ready)
	return router
}

func (a *Agent) peerVersion() peer.Version {
	return peer.Version{Process: a.settings.Process, Targets: a.targets.Current().Version}
}

func (a *Agent) peerState() peer.State {
	a.vmsMu.Lock()
	defer a.vmsMu.Unlock()
	return peer.State{Process: a.settings.Process, Targets: a.targets.Current(), VMs: a.vms}
}

// pollVMList reads the VM list periodically until ctx ends. While the platform
// is down, the agent keeps the last list. If an entry has announced newer
// targets that the agent has not received, pollVMList sends the agent's version to
// all entries, so that one of them announces the newer version again.
func (a *Agent) pollVMList(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		if vms, err := a.vmList.VMs(ctx); err != nil {
			a.log.Warn(logging.EventPlatformDown, logging.Reason(err.Error()))
		} else {
			a.updateVMs(vms)
		}
		if a.targets.Behind() {
			a.dispatcher.broadcast(wire.Message{})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) updateVMs(vms []storage.VM) {
	a.vmsMu.Lock()
	a.vms = vms
	a.vmsMu.Unlock()
	for _, vm := range vms {
		if vm.Name == a.settings.Process && vm.Draining {
			a.Drain()
		}
	}
}
