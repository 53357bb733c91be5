// Package agent implements the process that runs beside a backend server and
// is the only one to call it. Entries submit tickets for their requests. The
// agent queues the tickets by policy and issues a grant for the next one when
// the backend server has capacity. It then runs the granted request and
// relays the response, so it knows exactly what runs on the backend server.
// Start reading at Agent, then at dispatcher, which holds the state.
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

// ErrCancelEarlierRuns means that the runs that the engine still has from an
// earlier instance of the agent could not be listed or cancelled.
var ErrCancelEarlierRuns = errors.New("cannot cancel the engine's earlier runs")

const (
	// probeInterval is the time between two probes of the backend server.
	probeInterval = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxProbeFailures is the number of consecutive failed probes after which
	// the backend server counts as down.
	maxProbeFailures = 2
	// eventCapacity is the number of events that the timeline keeps.
	eventCapacity = 16384
)

// Agent controls admission to one backend server and runs requests on it.
// Exactly one of engine and service is set.
type Agent struct {
	settings  settings.Agent
	instance  string
	systemKey string
	log       *zap.Logger

	engine  engine.Engine
	service engine.Service

	clock    timeline.Clock
	events   *timeline.Ring
	targets  *targets.Cache
	metrics  *metrics.Metrics
	vmList   storage.VMList
	rowStore storage.Table

	// vmsMu guards vms. No other lock is acquired while it is held.
	vmsMu sync.Mutex
	vms   []storage.VM

	dispatcher *dispatcher
}

// New returns an Agent with the settings cfg. systemKey authenticates the
// other processes of the system.
func New(cfg settings.Agent, systemKey string, log *zap.Logger) *Agent {
	a := &Agent{settings: cfg, instance: ids.New(), systemKey: systemKey, log: log, targets: targets.NewCache(), metrics: metrics.New()}
	a.events = timeline.NewRing(cfg.Process, &a.clock, eventCapacity)
	a.dispatcher = newDispatcher(a.instance, cfg.Backend.ServedName, a.events, a.targets, a.metrics.Queue)
	platform := counted.New(storage.NewHTTPClient(cfg.Platform.URL), a.metrics.Platform)
	a.vmList = platform
	a.rowStore = platform
	a.metrics.OnScrape(func() { a.metrics.SetTargetsVersion(a.targets.Current().Version) })
	a.setBackendClient()
	return a
}

func (a *Agent) setBackendClient() {
	if a.settings.Backend.Kind == settings.BackendService {
		a.service = engine.NewServiceClient(a.settings.Backend.URL)
		return
	}
	a.engine = engine.NewClient(a.settings.Backend.URL)
}

// Run does the agent's background work until ctx ends. Grants are issued only
// after the engine's runs from an earlier instance have been cancelled.
func (a *Agent) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { a.cancelEarlierRunsAndProbe(ctx) })
	wg.Go(func() { a.dispatcher.runTimers(ctx) })
	wg.Go(func() { a.broadcastTargetChanges(ctx) })
	wg.Go(func() { a.pollVMList(ctx) })
	wg.Go(func() { a.executeOrders(ctx) })
	wg.Wait()
}

// Drain refuses new and waiting tickets from now on and notifies all entries.
// Issued grants stay usable and runs complete.
func (a *Agent) Drain() {
	a.dispatcher.drain()
}

// Drained returns a channel that is closed when the agent is draining and no
// grant is issued or running.
func (a *Agent) Drained() <-chan struct{} { return a.dispatcher.drained }

// cancelEarlierRunsAndProbe cancels the engine's runs from an earlier
// instance, so that the agent knows of all runs, and then probes the backend
// server periodically.
func (a *Agent) cancelEarlierRunsAndProbe(ctx context.Context) {
	cancelled := false
	wasUp := false
	failures := 0
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		err := a.probe(ctx, &cancelled)
		if err != nil {
			failures++
		} else {
			failures = 0
		}
		up := cancelled && failures < maxProbeFailures
		a.dispatcher.setBackendUp(up)
		a.logBackendState(wasUp, up, err)
		wasUp = up
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// logBackendState logs each change between up and down. While the backend
// server stays down, or a single probe fails, errors are logged at debug level.
func (a *Agent) logBackendState(wasUp, up bool, err error) {
	switch {
	case up && !wasUp:
		a.log.Info(logging.EventBackendServerUp)
	case wasUp && !up:
		a.log.Warn(logging.EventBackendServerDown, zap.Error(err))
	case err != nil:
		a.log.Debug(logging.EventBackendServerDown, zap.Error(err))
	}
}

// probe checks whether the backend server responds. As long as *cancelled is
// false, it first cancels the engine's runs from an earlier instance and sets
// *cancelled on success; a plain service has no such runs.
func (a *Agent) probe(ctx context.Context, cancelled *bool) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if a.engine == nil {
		*cancelled = true
		return a.probeService(ctx)
	}
	if !*cancelled {
		if err := a.cancelEarlierRuns(ctx); err != nil {
			return errors.Wrap(ErrCancelEarlierRuns, err.Error())
		}
		*cancelled = true
	}
	load, err := a.engine.Load(ctx)
	if err != nil {
		return errors.Wrap(err, "probe engine")
	}
	a.dispatcher.setSoftwareVersion(load.SoftwareVersion)
	return nil
}

// probeService only opens a TCP connection, because no request to a plain
// service is known to be free of side effects.
func (a *Agent) probeService(ctx context.Context) error {
	serviceURL, err := url.Parse(a.settings.Backend.URL)
	if err != nil {
		return errors.Wrap(err, "parse service URL")
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", serviceURL.Host)
	if err != nil {
		return errors.Wrap(err, "probe service")
	}
	if err := conn.Close(); err != nil {
		return errors.Wrap(err, "close probe connection")
	}
	return nil
}

func (a *Agent) cancelEarlierRuns(ctx context.Context) error {
	runIDs, err := a.engine.RunIDs(ctx)
	if err != nil {
		return errors.Wrap(err, "list runs")
	}
	for _, id := range runIDs {
		if err := a.engine.Cancel(ctx, id); err != nil {
			return errors.Wrap(err, "cancel run")
		}
	}
	return nil
}

// broadcastTargetChanges sends all entries a message with the new version
// whenever the agent's targets change. The message is empty, because every
// message carries the version.
func (a *Agent) broadcastTargetChanges(ctx context.Context) {
	for {
		changed := a.targets.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			a.dispatcher.broadcast(wire.Message{})
		}
	}
}

func (a *Agent) connConfig() wire.Config {
	version := func() uint64 { return a.targets.Current().Version }
	return wire.Config{Clock: &a.clock, TargetsVersion: version, Traffic: a.metrics.Control}
}
