// Package gateway is the process of an entry VM that sends callers' requests
// straight to the backend servers. Start reading at Serve.
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
	// sweepInterval is how often what has lapsed and idle connections are looked
	// through.
	sweepInterval = 500 * time.Millisecond
	// headerTimeout bounds the reading of a caller's headers.
	headerTimeout = 10 * time.Second
	// handoverTimeout bounds what another gateway takes to ask for this one's state.
	handoverTimeout = 2 * time.Second
	// defaultIdleTimeout closes a connection that asks nothing, where operators set
	// no limit.
	defaultIdleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a caller's headers in bytes; operators' limits are
	// lower.
	maxHeaderBytes = 64 << 10
	// heapMemoryShare is the part of the memory that the collector is told to keep
	// to; the rest is for what it doesn't see: sockets' buffers and stacks.
	heapMemoryShare = 0.6
	// requestMemoryShare is the part of the memory that requests in progress may take.
	requestMemoryShare = 0.4
	// gcPercent is by how many percent the heap grows between collections.
	gcPercent = 60
	megabyte  = 1 << 20
)

// gateway is the process's parts.
type gateway struct {
	settings settings.Gateway
	platform Platform
	log      *zap.Logger

	holder   *routes.Holder
	sink     *desiredStateSink
	registry *backend.Registry
	pool     *exchange.Pool
	router   *router.Router
	// usage is nil where none is reported.
	usage *usage.Reporter
	mesh  *peers.Mesh
	// servers follows the list of backend servers, and targets the desired state.
	servers *follow.Follower[backend.Info]
	targets *follow.Follower[*routes.Set]
	// serversBehind and stateBehind say since when other gateways know of servers, and of a stateBehind
	// desired state, that this one couldn't have from them.
	serversBehind, stateBehind timedCondition
	draining                   atomic.Bool
	// pendingQuarantine are requests that are to be stored as quarantined, and quarantineKnown says
	// that those are known that were when this gateway started.
	pendingQuarantine chan policy.Suspicion
	quarantineLoaded  atomic.Bool
	// storeHealth is whether the platform's storeHealth answers, and arriving whether an
	// answer of it about the desired state is on its way.
	storeHealth    follow.Health
	receivingState atomic.Bool
}

// Serve runs a gateway until ctx ends, then shuts it down gracefully. Reload
// reads the settings again when the process is told that they changed.
func Serve(ctx context.Context, s settings.Gateway, reload func() (settings.Gateway, error), p Platform, log *zap.Logger) error {
	limitMemory(s.MemoryMB)
	g, err := newGateway(s, p, log)
	if err != nil {
		return err
	}
	// Other gateways ask where they send their datagrams.
	listeners, err := listen.All(s.Listen, s.AdminListen, g.mesh.Addr())
	if err != nil {
		g.mesh.Close()
		return errors.Wrap(ErrListen, err.Error())
	}
	g.serve(ctx, listeners[0], listeners[1], listeners[2], reload)
	return nil
}

func newGateway(s settings.Gateway, p Platform, log *zap.Logger) (*gateway, error) {
	g := &gateway{
		settings: s, platform: p, log: log,
		holder: &routes.Holder{}, registry: backend.NewRegistry(), pool: exchange.NewPool(),
		pendingQuarantine: make(chan policy.Suspicion, maxPendingQuarantine),
	}
	g.sink = &desiredStateSink{holder: g.holder, registry: g.registry, log: log}
	var err error
	g.mesh, err = peers.Listen(peers.Config{
		Self:  peers.Entry{Name: s.Process, Addr: s.PeerListen},
		Loads: g.loads, Shortages: func() map[string]policy.Shortage { return g.router.Shortages() },
		News: func() policy.News { return g.router.News() }, Merge: func(n policy.News) { g.router.Merge(n) },
		Proof: func() peers.Proof { return peers.Proof{Version: g.holder.Version(), At: g.holder.ProvenAt()} },
		Prove: func(p peers.Proof) { g.holder.Prove(p.Version, p.At) }, Following: g.pollStatus,
		Usage: g.peerUsage(), Log: log,
	})
	if err != nil {
		return nil, err
	}
	counter := g.initUsage()
	ejector, index := policy.NewEjector(), policy.NewPrefixIndex()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g.router = router.New(router.Config{
		Zone: s.Zone, Dialect: p.Dialect, Holder: g.holder, Registry: g.registry, Pool: g.pool,
		Others: g.mesh, Gateways: g.mesh.Listed,
		Chooser: policy.NewChooser(random, ejector, index), Random: random, Ejector: ejector, Index: index,
		Observer: requestObserver{p.Metrics, log, g.enqueueQuarantined, counter},
	}, routerBounds(s), g.sheddingClients)
	g.registry.Gone = g.router.Forget
	g.servers, g.targets = g.newServersFollower(), g.newDesiredStateFollower()
	p.Metrics.ReadGateway(g.metricsSnapshot)
	return g, nil
}

// idleLimit is how long a caller's connection may ask nothing.
func (g *gateway) idleLimit() time.Duration {
	if s := g.holder.Current(); s != nil && s.Limits.IdleTime > 0 {
		return s.Limits.IdleTime
	}
	return defaultIdleTimeout
}

// metricsSnapshot is what the metrics tell of them.
func (g *gateway) metricsSnapshot() metrics.Gateway {
	var generation uint64
	if g.usage != nil {
		generation = g.usage.Generation()
	}
	return metrics.Gateway{
		Version: g.holder.Version(), ProofAge: boottime.Now() - g.holder.ProvenAt(),
		Gateways: g.mesh.Gateways(), Asking: g.servers.Live(), Servers: g.registry.Usable(), Quarantined: g.router.Quarantined(),
		Limited: g.router.Limited(), LimitedSends: g.router.LimitedSends(), UsageGeneration: generation, LinesDropped: logging.Dropped(),
	}
}

// loads is what this gateway has at the backend servers.
func (g *gateway) loads() []peers.Load {
	var loads []peers.Load
	now := time.Now()
	for _, s := range g.registry.All() {
		loads = append(loads, peers.Load{Server: s.Info().ID, Counts: s.Load.Counts(now)})
	}
	return loads
}

// serve runs all parts; it returns when they have ended.
func (g *gateway) serve(ctx context.Context, clientListener, adminListener, peerListener net.Listener, reload func() (settings.Gateway, error)) {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() { g.targets.Run(workCtx) })
	wg.Go(func() { g.servers.Run(workCtx) })
	wg.Go(func() { g.mesh.Run(workCtx) })
	wg.Go(func() { g.followGatewayList(workCtx) })
	wg.Go(func() { g.maintainRegistration(workCtx) })
	wg.Go(func() { g.syncQuarantine(workCtx) })
	wg.Go(func() { g.reportUsage(ctx) })
	wg.Go(func() { g.syncStateFromPeers(workCtx) })
	wg.Go(func() { g.syncServersFromPeers(workCtx) })
	wg.Go(func() { g.watchSettings(workCtx, reload) })

	clientServer := newClientServer(clientListener, g.router, g.idleLimit, g.log)
	wg.Go(func() { g.sweep(workCtx, clientServer) })
	adminServer := &http.Server{Handler: g.adminRoutes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout}
	handoverServer := &http.Server{Handler: handover.Routes(g.handoverState, g.servers.Since), ReadTimeout: handoverTimeout, WriteTimeout: handoverTimeout + handover.Longest, ErrorLog: zap.NewStdLog(zap.NewNop())}
	// They return when their servers are closed.
	wg.Go(clientServer.Serve)
	wg.Go(func() { _ = adminServer.Serve(adminListener) })
	wg.Go(func() { _ = handoverServer.Serve(peerListener) })
	g.log.Info(logging.EventStarted, zap.String("listen", clientListener.Addr().String()), zap.String("admin_listen", adminListener.Addr().String()))

	<-ctx.Done()
	g.drain(clientServer)
	_, _ = adminServer.Close(), handoverServer.Close()
	stop()
	wg.Wait()
}

// sweep removes what has lapsed.
func (g *gateway) sweep(ctx context.Context, server *callers.Server) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	limit := g.idleLimit()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			previous := limit
			if limit = g.idleLimit(); limit < previous {
				server.Lower()
			}
			g.registry.Sweep(now)
			g.pool.Sweep(now, func(p exchange.Peer) bool {
				s := g.registry.Server(p.Instance)
				return s != nil && !s.Info().Leaving && s.Info().Born == p.Born
			})
		}
	}
}

func (g *gateway) adminRoutes() http.Handler {
	mux := httprouter.New()
	mux.GET(g.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandlerFunc(http.MethodGet, metrics.PathMetrics, g.platform.Metrics.Serve)
	return mux
}

// limitMemory has the collector keep to its part of the memory; 0 is no bound.
func limitMemory(megabytes float64) {
	debug.SetGCPercent(gcPercent)
	limit := int64(math.MaxInt64)
	if megabytes > 0 {
		limit = int64(heapMemoryShare * megabytes * megabyte)
	}
	debug.SetMemoryLimit(limit)
}
