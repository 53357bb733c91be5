package entry

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/applepier/applepier/internal/admin"
	"github.com/applepier/applepier/internal/auth"
	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/peer"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/targets/store"
	"github.com/applepier/applepier/internal/timeline"
)

// Reasons why an entry is not ready.
var (
	errLeaving   = errors.New("leaving")
	errNoList    = errors.New("no VM list yet: the platform and the seeds are unreachable")
	errNoTargets = errors.New("no classes yet: none are set, or the platform and the seeds are unreachable")
)

// adminRoutes serves operators, collectors and the system's own processes.
func (e *entry) adminRoutes() http.Handler {
	router := httprouter.New()
	metrics.Register(router, e.metrics, e.ready)
	admin.New(admin.Config{
		Store:       e.store,
		Holder:      e.holder,
		Fleet:       e.census,
		OperatorKey: e.keys.operator,
		Spread:      func(ctx context.Context, version uint64) { e.fleet.AwaitFirst(ctx, version) },
		Log:         e.log,
	}).Register(router)
	operator := auth.Operator(e.keys.operator)
	router.Handler(http.MethodGet, timeline.PathView, operator(timeline.ViewHandler(e.ring, e.timelinePeers, e.keys.system)))
	system := auth.System(e.keys.system)
	router.Handler(http.MethodGet, timeline.PathEvents, system(timeline.Handler(e.ring)))
	router.Handler(http.MethodGet, peer.StatePath, system(peer.Handler(e.peerState)))
	router.Handler(http.MethodGet, peer.VersionPath, system(peer.VersionHandler(e.peerVersion)))
	return router
}

// ready answers the platform's balancer: nil once requests can be served and
// until the process leaves.
func (e *entry) ready() error {
	switch {
	case e.leaving.Load():
		return errLeaving
	case !e.fleet.Known():
		return errNoList
	case e.targetsVersion() == 0:
		return errNoTargets
	}
	return nil
}

func (e *entry) ownProcess() admin.Process {
	return admin.Process{
		Name:    e.settings.Process,
		Zone:    e.settings.Zone,
		Role:    roleOf(storage.RoleEntry),
		Version: e.targetsVersion(),
		Heard:   true,
		Leaving: e.leaving.Load(),
	}
}

func (e *entry) peerState() peer.State {
	vms, _ := e.fleet.VMs()
	return peer.State{Process: e.settings.Process, Targets: e.holder.Current(), VMs: vms}
}

func (e *entry) peerVersion() peer.Version {
	return peer.Version{Process: e.settings.Process, Targets: e.targetsVersion()}
}

func (e *entry) timelinePeers() []timeline.Peer {
	vms, _ := e.fleet.VMs()
	peers := make([]timeline.Peer, 0, len(vms))
	for _, vm := range vms {
		peers = append(peers, timeline.Peer{Process: vm.Name, Addr: vm.Addr})
	}
	return peers
}

// askSeeds takes the place of the VM list while the platform is down.
func (e *entry) askSeeds(ctx context.Context) ([]storage.VM, error) {
	return peer.AskAny(ctx, e.settings.Seeds, e.keys.system, e.holder)
}

// followTargets polls the table service for newer targets.
func (e *entry) followTargets(ctx context.Context) {
	store.NewPoller(e.store, e.holder, e.log).Run(ctx)
}

// callerAuth tells callers apart.
type callerAuth struct{ trustHeader bool }

// Caller finds the customer of a request.
func (c callerAuth) Caller(set *targets.Set, r *http.Request) (string, error) {
	return auth.Caller(set, c.trustHeader, r)
}
