// Package gateway implements the gateway process of an entry VM, which sends caller requests
// directly to the backend servers. Start reading at Serve.
package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/callers"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/exchange"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/handover"
	"github.com/applepier/applepier/internal/gateway/origin"
	"github.com/applepier/applepier/internal/gateway/peers"
	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/internal/gateway/usage"
	"github.com/applepier/applepier/internal/listen"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/policy"
)

const (
	// sweepInterval is the time between two calls of the sweep methods, which remove expired state
	// and idle connections.
	sweepInterval = 500 * time.Millisecond
	// headerTimeout bounds the time to read a caller's request header.
	headerTimeout = 10 * time.Second
	// handoverTimeout bounds the time to read another gateway's handover request. It is also added
	// to handover.MaxDuration to bound the writing of the response.
	handoverTimeout = 2 * time.Second
	// defaultIdleTimeout is how long an idle caller connection is kept open where operators set no
	// limit.
	defaultIdleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a caller's request header; operators' limits are lower.
	maxHeaderBytes = 64 << 10
	// heapMemoryShare is the share of the process's memory limit that is set as the Go runtime's
	// limit. The rest is for memory that the runtime doesn't account for, such as socket buffers.
	heapMemoryShare = 0.6
	// requestMemoryShare is the share of the process's memory limit that requests in progress may
	// use.
	requestMemoryShare = 0.4
	// gcPercent is the heap growth, in percent, that triggers a garbage collection.
	gcPercent = 60
	megabyte  = 1 << 20
)

// gateway holds the components of the process.
type gateway struct {
	settings settings.Gateway
	platform Platform
	log      *zap.Logger

	holder           *routes.Holder
	desiredStateSink *desiredStateSink
	registry         *backend.Registry
	pool             *exchange.Pool
	router           *router.Router
	// usage is nil if usage reporting is disabled.
	usage *usage.Reporter
	mesh  *peers.Mesh
	// origins knows at which software version streams began.
	origins *origin.Directory
	// servers follows the list of backend servers, desiredState the desired state.
	servers      *follow.Follower[backend.Info]
	desiredState *follow.Follower[*routes.Snapshot]
	// serversBehind holds while other gateways have changes of the list of backend servers that this
	// gateway doesn't have, stateBehind while they have a newer desired state.
	serversBehind, stateBehind timedCondition
	draining                   atomic.Bool
	// startedAt is when the process started, on the boottime clock.
	startedAt time.Duration
	// drainBound is the time, in nanoseconds, within which draining servers must get no more requests.
	drainBound atomic.Int64
	// listConfirmsItself is set while only the responses for the list of backend servers confirm it.
	listConfirmsItself atomic.Bool
	// serverListOld is set while the list of backend servers has been unconfirmed for drainBound.
	serverListOld bool
	// pendingQuarantine holds changes of the quarantine until they are written to the store.
	// quarantineLoaded is set once what was quarantined before this gateway started is known.
	pendingQuarantine chan quarantineChange
	quarantineLoaded  atomic.Bool
	// storeHealth is the health of the platform's store as its followers see it. receivingState is
	// set while a response with the desired state is being received.
	storeHealth    follow.Health
	receivingState atomic.Bool
}

// Serve runs a gateway until ctx ends, then shuts it down gracefully. reload reads the settings
// again; it is called on SIGHUP and periodically. Serve returns the error of peers.Listen, or one
// that wraps ErrListen, if it can't listen on an address.
func Serve(ctx context.Context, s settings.Gateway, reload func() (settings.Gateway, error), p Platform, log *zap.Logger) error {
	limitMemory(s.MemoryLimitMB)
	g, err := newGateway(s, p, log)
	if err != nil {
		return err
	}
	// Other gateways send handover requests to the TCP port of the address to which they send
	// datagrams.
	listeners, err := listen.All(s.Listen, s.AdminListen, g.mesh.Addr())
	if err != nil {
		g.mesh.Close()
		return errors.Wrap(ErrListen, err.Error())
	}
	g.serve(ctx, listeners[0], listeners[1], listeners[2], reload)
	return nil
}

// newGateway creates the components of a gateway and connects them. The error is that of
// peers.Listen.
func newGateway(s settings.Gateway, p Platform, log *zap.Logger) (*gateway, error) {
	g := &gateway{
		settings: s, platform: p, log: log, startedAt: boottime.Now(),
		holder: &routes.Holder{}, registry: backend.NewRegistry(), pool: exchange.NewPool(),
		pendingQuarantine: make(chan quarantineChange, maxPendingQuarantine),
	}
	g.drainBound.Store(int64(drainBound(s)))
	g.desiredStateSink = &desiredStateSink{holder: g.holder, registry: g.registry, log: log}
	var err error
	g.mesh, err = peers.Listen(peers.Config{
		Self: peers.Entry{Name: s.Process, Addr: s.PeerListen}, Zone: s.Zone, PlansZones: s.Zones.Price != nil,
		HandleOrigin: func(addr string, datagram []byte) error { return g.origins.Handle(addr, datagram) },
		Loads:        g.loads, OwnOfferCounts: func() map[string]policy.OfferCounts { return g.router.OfferCounts() },
		TakeUpdates: func() policy.PeerUpdate { return g.router.TakeUpdates() }, MergeUpdates: func(u policy.PeerUpdate) { g.router.MergeUpdates(u) },
		Confirmation: func() peers.Confirmation {
			return peers.Confirmation{Version: g.holder.Version(), At: g.holder.ConfirmedAt()}
		},
		Confirm: func(c peers.Confirmation) { g.holder.Confirm(c.Version, c.At) }, StoreStatus: g.storeStatus,
		ConfirmServers: func(at time.Duration, newest follow.Position) { g.servers.Confirm(at, newest) },
		Usage:          g.usageExchange(), Log: log,
	})
	if err != nil {
		return nil, err
	}
	g.origins = origin.New(origin.Config{Peers: g.mesh, Versions: g.versionsWithin, Current: g.awaitServerList, Lifetime: g.streamLifetime, TTL: g.recordTTL})
	counter := g.initUsage()
	ejector, index := policy.NewEjector(), policy.NewPrefixIndex()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g.router = router.New(router.Config{
		Zone: s.Zone, Dialect: p.Dialect, Holder: g.holder, Registry: g.registry, Pool: g.pool,
		Peers: g.mesh, ListedGateways: g.mesh.ListedGateways, KnownGateways: g.mesh.KnownGateways,
		Chooser: policy.NewChooser(random, ejector, index), Random: random, Ejector: ejector, PrefixIndex: index, Origins: g.origins,
		ZonePrice: s.Zones.Price, ZonePeers: g.mesh,
		Observer: requestObserver{p.Metrics, log, g.enqueueQuarantineChange, counter},
	}, routerBounds(s), g.sheddingCallers)
	g.registry.OnRemove = g.router.ForgetServer
	g.servers, g.desiredState = g.newServersFollower(), g.newDesiredStateFollower()
	p.Metrics.CollectGateway(g.metricsSnapshot)
	return g, nil
}

// idleTimeout returns how long a caller connection may stay idle.
func (g *gateway) idleTimeout() time.Duration {
	if snapshot := g.holder.Current(); snapshot != nil && snapshot.Limits.IdleTimeout > 0 {
		return snapshot.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// metricsSnapshot returns the current values of the gateway's gauges.
func (g *gateway) metricsSnapshot() metrics.GatewayStats {
	var generation uint64
	if g.usage != nil {
		generation = g.usage.Generation()
	}
	faster, slower := g.router.DistinguishedServers()
	return metrics.GatewayStats{
		FasterServers: faster, SlowerServers: slower, ReservedServers: g.router.ReservedServerCount(),
		StateVersion: g.holder.Version(), StateAge: g.stateAge(),
		LiveGateways: g.mesh.LiveGateways(), PollsStore: g.servers.Live(), UsableServers: g.registry.CountUsable(), ServerListAge: g.serverListAge(), QuarantinedRequests: g.router.QuarantinedCount(),
		LimitedServers: g.router.LimitedServerCount(), BackedOffServers: g.router.BackedOffServerCount(), LimitedSends: g.router.LimitedSendCount(), UsageGeneration: generation, DroppedLogLines: logging.DroppedLines(),
		ZonePrice: g.settings.Zones.Price, ZoneShares: g.zoneShares(),
	}
}

// loads returns this gateway's load on each backend server.
func (g *gateway) loads() []peers.Load {
	var loads []peers.Load
	now := time.Now()
	for _, s := range g.registry.All() {
		loads = append(loads, peers.Load{Server: s.Info().ID, Counts: s.Load.Counts(now)})
	}
	return loads
}

// serve runs all components and returns after they have stopped.
func (g *gateway) serve(ctx context.Context, callerListener, adminListener, peerListener net.Listener, reload func() (settings.Gateway, error)) {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() { g.desiredState.Run(workCtx) })
	wg.Go(func() { g.servers.Run(workCtx) })
	wg.Go(func() { g.mesh.Run(workCtx) })
	wg.Go(func() { g.followGatewayList(workCtx) })
	wg.Go(func() { g.maintainRegistration(workCtx) })
	wg.Go(func() { g.syncQuarantine(workCtx) })
	wg.Go(func() { g.reportUsage(ctx) })
	wg.Go(func() { g.syncStateFromPeers(workCtx) })
	wg.Go(func() { g.syncServersFromPeers(workCtx) })
	wg.Go(func() { g.watchSettings(workCtx, reload) })

	callerServer := newCallerServer(callerListener, g.router, g.idleTimeout, g.pauseWhileOverloaded(), g.log)
	wg.Go(func() { g.sweep(workCtx, callerServer) })
	adminServer := &http.Server{Handler: g.adminRoutes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout}
	handoverServer := &http.Server{Handler: handover.NewHandler(g.handoverState, g.serverChangesSince), ReadTimeout: handoverTimeout, WriteTimeout: handoverTimeout + handover.MaxDuration, ErrorLog: zap.NewStdLog(zap.NewNop())}
	// These calls return when their servers are closed.
	wg.Go(callerServer.Serve)
	wg.Go(func() { _ = adminServer.Serve(adminListener) })
	wg.Go(func() { _ = handoverServer.Serve(peerListener) })
	g.log.Info(logging.EventStarted, zap.String("listen", callerListener.Addr().String()), zap.String("admin_listen", adminListener.Addr().String()))

	<-ctx.Done()
	g.drain(callerServer)
	_, _ = adminServer.Close(), handoverServer.Close()
	stop()
	wg.Wait()
}

// sweep periodically removes expired state, closes connections to backend servers that are expired
// or no longer wanted, and applies a shortened idle timeout to caller connections, until ctx ends.
func (g *gateway) sweep(ctx context.Context, server *callers.Server) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	timeout := g.idleTimeout()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			previous := timeout
			if timeout = g.idleTimeout(); timeout < previous {
				server.ApplyIdleTimeout()
			}
			g.registry.Sweep(now)
			g.pool.Sweep(now, func(instance exchange.ServerInstance) bool {
				s := g.registry.Server(instance.ServerID)
				return s != nil && !s.Info().Draining && s.Info().StartUnixMilli == instance.StartTime
			})
		}
	}
}

// adminRoutes returns the handler of the readiness check, the metrics, the servers' slowdowns and the
// quarantine.
func (g *gateway) adminRoutes() http.Handler {
	mux := httprouter.New()
	mux.GET(g.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandlerFunc(http.MethodGet, metrics.PathMetrics, g.platform.Metrics.Serve)
	mux.GET(pathServerSpeeds, g.handleServerSpeeds)
	g.addQuarantineRoutes(mux)
	mux.GET(pathZones, g.serveZones)
	return mux
}

// limitMemory sets the garbage collector's target and memory limit, given the process's memory limit
// in megabytes; 0 means no limit.
func limitMemory(megabytes float64) {
	debug.SetGCPercent(gcPercent)
	limit := int64(math.MaxInt64)
	if megabytes > 0 {
		limit = int64(heapMemoryShare * megabytes * megabyte)
	}
	debug.SetMemoryLimit(limit)
}
