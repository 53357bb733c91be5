// Package agent is the process beside a backend server, and the only way to
// it. Entries place tickets; the agent orders them by the policy, grants the
// best one when its backend server has room, runs the granted request and
// relays the answer. It therefore knows exactly what runs there. Start
// reading at Agent, then at table, which holds the state.
package agent

import (
	"context"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/ids"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/counted"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

// ErrSettle: what the engine still runs from before could not be settled.
var ErrSettle = errors.New("cannot settle the engine's earlier runs")

const (
	// probeEvery is how often the engine is asked whether it is there.
	probeEvery = time.Second
	// probeTimeout bounds one such call; two that fail in a row mean down.
	probeTimeout = time.Second
	// probeFailures is how many probes in a row must fail.
	probeFailures = 2
	// eventRing is how many events the time line keeps.
	eventRing = 16384
)

// Agent is the process beside one backend server.
type Agent struct {
	settings    settings.Agent
	incarnation string
	systemKey   string
	log         *zap.Logger

	model   engine.Engine
	service engine.Service

	clock   timeline.Clock
	ring    *timeline.Ring
	holder  *targets.Holder
	metrics *metrics.Metrics
	list    storage.VMList
	tables  storage.Table

	// listMu is a leaf; it guards vms.
	listMu sync.Mutex
	vms    []storage.VM

	table *table
}

// New returns an agent for its settings; systemKey tells its peers.
func New(s settings.Agent, systemKey string, log *zap.Logger) *Agent {
	a := &Agent{settings: s, incarnation: ids.New(), systemKey: systemKey, log: log, holder: targets.NewHolder(), metrics: metrics.New()}
	a.ring = timeline.NewRing(s.Process, &a.clock, eventRing)
	a.table = newTable(a.incarnation, s.Backend.Serves, a.ring, a.holder, a.metrics.Queue)
	services := counted.New(storage.NewHTTP(s.Platform.URL), a.metrics.Platform)
	a.list = services
	a.tables = services
	a.metrics.OnRead(func() { a.metrics.TargetsVersion(a.holder.Current().Version) })
	a.connectBackend()
	return a
}

func (a *Agent) connectBackend() {
	if a.settings.Backend.Kind == settings.BackendService {
		a.service = engine.NewService(a.settings.Backend.URL)
		return
	}
	a.model = engine.NewClient(a.settings.Backend.URL)
}

// Run does the agent's background work until ctx ends: it settles what the
// engine still runs from an earlier incarnation, then grants.
func (a *Agent) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { a.settleAndProbe(ctx) })
	wg.Go(func() { a.table.keepTime(ctx) })
	wg.Go(func() { a.spread(ctx) })
	wg.Go(func() { a.followList(ctx) })
	wg.Go(func() { a.followOrders(ctx) })
	wg.Wait()
}

// Leave refuses new work from now on and tells all entries.
func (a *Agent) Leave() {
	a.table.leave()
}

// Drained is closed when the agent is leaving and nothing runs any more.
func (a *Agent) Drained() <-chan struct{} { return a.table.drained }

// settleAndProbe first cancels the engine's runs from before this start, so
// that nothing runs which this agent doesn't know of, then watches the engine.
func (a *Agent) settleAndProbe(ctx context.Context) {
	settled := false
	wasUp := false
	failures := 0
	timer := time.NewTicker(probeEvery)
	defer timer.Stop()
	for {
		err := a.probe(ctx, &settled)
		if err != nil {
			failures++
		} else {
			failures = 0
		}
		up := settled && failures < probeFailures
		a.table.setEngine(up)
		a.logEngine(wasUp, up, err)
		wasUp = up
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

// logEngine tells when the backend server came or went; a start without it is
// told by the first probes.
func (a *Agent) logEngine(wasUp, up bool, err error) {
	switch {
	case up && !wasUp:
		a.log.Info(logging.EventEngineUp)
	case wasUp && !up:
		a.log.Warn(logging.EventEngineDown, zap.Error(err))
	case err != nil:
		a.log.Debug(logging.EventEngineDown, zap.Error(err))
	}
}

func (a *Agent) probe(ctx context.Context, settled *bool) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if a.model == nil {
		*settled = true
		return a.probeService(ctx)
	}
	if !*settled {
		if err := a.settle(ctx); err != nil {
			return errors.Wrap(ErrSettle, err.Error())
		}
		*settled = true
	}
	if _, err := a.model.Load(ctx); err != nil {
		return errors.Wrap(err, "probe engine")
	}
	return nil
}

// probeService only opens a connection: a plain service has no call that is
// known to be free of effects.
func (a *Agent) probeService(ctx context.Context) error {
	base, err := url.Parse(a.settings.Backend.URL)
	if err != nil {
		return errors.Wrap(err, "parse service's address")
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", base.Host)
	if err != nil {
		return errors.Wrap(err, "probe service")
	}
	if err := conn.Close(); err != nil {
		return errors.Wrap(err, "close probe")
	}
	return nil
}

func (a *Agent) settle(ctx context.Context) error {
	ids, err := a.model.Running(ctx)
	if err != nil {
		return errors.Wrap(err, "list runs")
	}
	for _, id := range ids {
		if err := a.model.Cancel(ctx, id); err != nil {
			return errors.Wrap(err, "cancel run")
		}
	}
	return nil
}

// spread tells all entries when newer targets are in force here.
func (a *Agent) spread(ctx context.Context) {
	for {
		changed := a.holder.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			a.table.broadcast(wire.Message{})
		}
	}
}

func (a *Agent) local() wire.Local {
	version := func() uint64 { return a.holder.Current().Version }
	return wire.Local{Clock: &a.clock, TargetsVersion: version, Traffic: a.metrics.Control}
}
