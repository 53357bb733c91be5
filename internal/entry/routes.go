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

// Reasons why the entry is not ready, as /readyz reports them.
var (
	errDraining  = errors.New("leaving")
	errNoVMList  = errors.New("no VM list yet: the platform and the seeds are unreachable")
	errNoTargets = errors.New("no classes yet: none are set, or the platform and the seeds are unreachable")
)

// adminRoutes returns the handler of the admin listener, which operators, metrics
// collectors and other processes of the system use.
func (e *entry) adminRoutes() http.Handler {
	router := httprouter.New()
	metrics.Register(router, e.metrics, e.ready)
	admin.New(admin.Config{
		Store:       e.store,
		Targets:     e.targets,
		Fleet:       e.fleetStatus,
		OperatorKey: e.keys.operator,
		Propagate:   func(ctx context.Context, version uint64) { e.fleet.AwaitTargets(ctx, version) },
		Log:         e.log,
	}).Register(router)
	operator := auth.RequireOperatorKey(e.keys.operator)
	router.Handler(http.MethodGet, timeline.PathView, operator(timeline.ViewHandler(e.timeline, e.timelinePeers, e.keys.system)))
	system := auth.RequireSystemKey(e.keys.system)
	router.Handler(http.MethodGet, timeline.PathEvents, system(timeline.Handler(e.timeline)))
	router.Handler(http.MethodGet, peer.StatePath, system(peer.StateHandler(e.peerState)))
	router.Handler(http.MethodGet, peer.VersionPath, system(peer.VersionHandler(e.peerVersion)))
	return router
}

// ready is the readiness check of the platform's load balancer. It returns an error until
// the entry has a VM list and classes, nil while it serves requests, and an error again
// once it drains.
func (e *entry) ready() error {
	switch {
	case e.draining.Load():
		return errDraining
	case !e.fleet.HasVMList():
		return errNoVMList
	case e.targetsVersion() == 0:
		return errNoTargets
	}
	return nil
}

func (e *entry) selfStatus() admin.Process {
	return admin.Process{
		Name:           e.settings.Process,
		Zone:           e.settings.Zone,
		Role:           roleName(storage.RoleEntry),
		TargetsVersion: e.targetsVersion(),
		HasStatus:      true,
		Draining:       e.draining.Load(),
	}
}

func (e *entry) peerState() peer.State {
	vms, _ := e.fleet.VMs()
	return peer.State{Process: e.settings.Process, Targets: e.targets.Current(), VMs: vms}
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

// fetchVMsFromSeeds returns the VM list of a seed process and adopts the seeds' targets if
// they are newer. It is the fallback while the platform is unreachable.
func (e *entry) fetchVMsFromSeeds(ctx context.Context) ([]storage.VM, error) {
	return peer.FetchFromAll(ctx, e.settings.Seeds, e.keys.system, e.targets)
}

// pollTargets polls the table service for newer targets until ctx is cancelled.
func (e *entry) pollTargets(ctx context.Context) {
	store.NewPoller(e.store, e.targets, e.log).Run(ctx)
}

// callerAuth identifies callers by API key or, with trustHeader, by the customer header
// of requests without a key.
type callerAuth struct{ trustHeader bool }

// Customer returns the name of the customer that sent the request, or an error if it
// can't be authenticated.
func (c callerAuth) Customer(set *targets.Set, r *http.Request) (string, error) {
	return auth.AuthenticateCustomer(set, c.trustHeader, r)
}
