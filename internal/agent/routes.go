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

// listEvery is how often an agent reads the VM list: to learn that its own VM
// is leaving, when no entry tells it, and to hand the list to fresh VMs.
const listEvery = 5 * time.Second

func (a *Agent) routes() http.Handler {
	system := auth.System(a.systemKey)
	router := httprouter.New()
	router.Handler(http.MethodGet, wire.ConnectPath, system(http.HandlerFunc(a.serveConnect)))
	router.Handler(http.MethodPost, wire.RunPath, system(http.HandlerFunc(a.serveRun)))
	router.Handler(http.MethodGet, peer.StatePath, system(peer.Handler(a.peerState)))
	router.Handler(http.MethodGet, peer.VersionPath, system(peer.VersionHandler(a.peerVersion)))
	router.Handler(http.MethodGet, timeline.PathEvents, system(timeline.Handler(a.ring)))
	metrics.Register(router, a.metrics, a.ready)
	return router
}

func (a *Agent) peerVersion() peer.Version {
	return peer.Version{Process: a.settings.Process, Targets: a.holder.Current().Version}
}

func (a *Agent) peerState() peer.State {
	a.listMu.Lock()
	defer a.listMu.Unlock()
	return peer.State{Process: a.settings.Process, Targets: a.holder.Current(), VMs: a.vms}
}

// followList reads the VM list until ctx ends; while the platform is down the
// agent goes on with what it knows. If a peer that was asked for newer targets
// has not answered, it asks around again.
func (a *Agent) followList(ctx context.Context) {
	timer := time.NewTicker(listEvery)
	defer timer.Stop()
	for {
		if vms, err := a.list.VMs(ctx); err != nil {
			a.log.Warn(logging.EventPlatformDown, logging.Reason(err.Error()))
		} else {
			a.adoptList(vms)
		}
		if a.holder.Behind() {
			a.table.broadcast(wire.Message{})
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

func (a *Agent) adoptList(vms []storage.VM) {
	a.listMu.Lock()
	a.vms = vms
	a.listMu.Unlock()
	for _, vm := range vms {
		if vm.Name == a.settings.Process && vm.Leaving {
			a.Leave()
		}
	}
}
