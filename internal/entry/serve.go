// Package entry implements the entry process: it accepts callers' requests,
// dispatches them to the agents of the backend servers, and serves the operators'
// administration API. Serve is the entry point.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/callers"
	"github.com/applepier/applepier/internal/claim"
	"github.com/applepier/applepier/internal/entry/api"
	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/entry/fleet"
	"github.com/applepier/applepier/internal/listen"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/counted"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/targets/store"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

const (
	// headerTimeout limits reading a caller's request headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits a caller's request headers.
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long a caller's idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// drainDelay is how long a draining entry still accepts requests after its readiness
	// check has begun to fail, so that the platform's load balancer has time to stop
	// sending to it.
	drainDelay = 2 * time.Second
	// timelineCapacity is how many events the timeline keeps.
	timelineCapacity = 65536
)

// entry holds the components of the process.
type entry struct {
	settings settings.Entry
	keys     keys
	log      *zap.Logger

	clock       timeline.Clock
	timeline    *timeline.Ring
	targets     *targets.Cache
	metrics     *metrics.Metrics
	platform    *counted.Platform
	store       *store.Store
	claimer     *claim.Claimer
	fleet       *fleet.Fleet
	dispatcher  *dispatch.Dispatcher
	api         *api.API
	fleetStatus *fleetStatus
	draining    atomic.Bool
}

// Serve runs an entry until ctx is cancelled, then shuts it down gracefully: the
// readiness check fails, no new connections are accepted and requests in flight are
// finished. It returns an error only if startup fails: ErrKeys or ErrListen with the
// cause.
func Serve(ctx context.Context, s settings.Entry, log *zap.Logger) error {
	e, err := newEntry(s, log)
	if err != nil {
		return err
	}
	listeners, err := listen.All(s.Listen, s.AdminListen)
	if err != nil {
		return errors.Wrap(ErrListen, err.Error())
	}
	return e.serve(ctx, listeners[0], listeners[1])
}

func newEntry(s settings.Entry, log *zap.Logger) (*entry, error) {
	k, err := readKeys(s.Keys)
	if err != nil {
		return nil, err
	}
	e := &entry{settings: s, keys: k, log: log, targets: targets.NewCache(), metrics: metrics.New()}
	e.timeline = timeline.NewRing(s.Process, &e.clock, timelineCapacity)
	e.platform = counted.New(storage.NewHTTPClient(s.Platform.URL), e.metrics.Platform)
	e.store = store.New(e.platform)
	e.claimer = claim.NewClaimer(e.platform)
	e.fleet = fleet.New(fleet.Config{
		Process:        s.Process,
		Zone:           s.Zone,
		SystemKey:      k.system,
		Local:          wire.Config{Clock: &e.clock, TargetsVersion: e.targetsVersion, Traffic: e.metrics.Control},
		Targets:        e.targets,
		VMList:         e.platform,
		Timeline:       e.timeline,
		Log:            log,
		FallbackVMList: e.fetchVMsFromSeeds,
		OnAgentRemoved: func(agent string) { e.dispatcher.ForgetAgent(agent) },
	})
	e.fleetStatus = &fleetStatus{self: e.selfStatus, fleet: e.fleet, key: k.system}
	e.api = e.newAPI()
	e.metrics.OnScrape(e.updateGauges)
	return e, nil
}

func (e *entry) targetsVersion() uint64 { return e.targets.Current().Version }

func (e *entry) newAPI() *api.API {
	ejector := policy.NewEjector()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e.dispatcher = dispatch.New(dispatch.Config{
		Zone:        e.settings.Zone,
		SystemKey:   e.keys.system,
		Agents:      dispatchAgents{e.fleet},
		Placer:      policy.NewPlacer(random, ejector),
		Ejector:     ejector,
		RetryBudget: policy.NewRetryBudget(),
		Timeline:    e.timeline,
		Log:         e.log,
	})
	return api.New(api.Config{
		Targets:    e.targets,
		Dispatcher: e.dispatcher,
		Catalog:    e.fleet,
		Auth:       callerAuth{trustHeader: e.settings.CallerAuth.TrustCustomerHeader},
		Claims:     e.claimer,
		Grants:     e.fleet,
		Observer:   metricsObserver{e.metrics},
		Timeline:   e.timeline,
		Log:        e.log,
	})
}

func (e *entry) serve(ctx context.Context, callerListener, adminListener net.Listener) error {
	// The VM list and the targets are kept up to date until the requests in flight have
	// finished; the leader tasks stop as soon as the shutdown begins.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() { e.fleet.Run(background) })
	wg.Go(func() { e.pollTargets(background) })
	wg.Go(func() { e.runLeaderTasks(ctx) })
	callerRouter := httprouter.New()
	e.api.Register(callerRouter)
	callerServer := e.newServer(callerListener, callerRouter)
	adminServer := e.newServer(adminListener, e.adminRoutes())
	wg.Go(callerServer.Serve)
	wg.Go(adminServer.Serve)
	e.log.Info(logging.EventStarted, zap.String("listen", callerListener.Addr().String()), zap.String("admin_listen", adminListener.Addr().String()))
	<-ctx.Done()
	e.drain(callerServer)
	// The context is never cancelled, so Drain does not cut off any request.
	_ = adminServer.Drain(context.Background())
	stopBackground()
	wg.Wait()
	e.claimer.Close()
	return nil
}

// drain waits for all requests in flight, without a time limit: long responses are
// bounded by their own timeouts, and SIGINT stops the process at once.
func (e *entry) drain(server *callers.Server) {
	e.draining.Store(true)
	e.timeline.Record(timeline.KindLeave, "", "", "graceful shutdown")
	e.log.Info(logging.EventStopping, zap.Int("in_flight", e.api.InFlight()))
	time.Sleep(drainDelay)
	// The context is never cancelled, so Drain does not cut off any request.
	_ = server.Drain(context.Background())
}

func (e *entry) newServer(listener net.Listener, handler http.Handler) *callers.Server {
	idleLimit := func() time.Duration { return idleTimeout }
	return callers.New(listener, callers.Config{Handler: handler, HeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleLimit, Log: e.log})
}

// dispatchAgents adapts the fleet to dispatch.Agents, whose Place takes its own
// TicketHandler type.
type dispatchAgents struct{ *fleet.Fleet }

// Place sends a ticket; it returns false if the agent is not connected.
func (a dispatchAgents) Place(agent string, t *wire.Ticket, handler dispatch.TicketHandler) bool {
	return a.Fleet.Place(agent, t, handler)
}
