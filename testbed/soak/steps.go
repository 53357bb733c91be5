package soak

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/cloud"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/rowstore"
)

const (
	// minPathDelay and maxPathDelay bound the delay of a slow path; storeDelay
	// is that of a slow store.
	minPathDelay = 50 * time.Millisecond
	maxPathDelay = 1600 * time.Millisecond
	storeDelay   = 1500 * time.Millisecond
	// maxDowntime bounds how long a stopped process stays down.
	maxDowntime = 1500 * time.Millisecond
	// drainTime is how long a server serves after it has announced that it drains.
	drainTime = 2500 * time.Millisecond
	// announcedDrainTime is how long a server serves after its responses have begun to say that it drains.
	announcedDrainTime = 5 * time.Second
	// maxSnapshotAge bounds the age of the snapshot from which the store is restored,
	// restoreOutage is how long it is unavailable then, and rewriteDelay is the
	// delay until the lost rows are written again.
	maxSnapshotAge = 3 * time.Second
	restoreOutage  = 200 * time.Millisecond
	rewriteDelay   = 500 * time.Millisecond
	// routesPerStep is the number of routes added by a step. A step that would
	// exceed maxExtraRoutes removes all extra routes instead.
	routesPerStep  = 1500
	maxExtraRoutes = 6000
)

var (
	idleTimeouts = []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second}
	dutiesFaults = []cloud.Fault{cloud.Throttled, cloud.RequestLost, cloud.ResponseLost, cloud.Delayed}
	storeFaults  = []rowstore.Fault{rowstore.Unavailable, rowstore.Throttled, rowstore.Unresponsive, rowstore.Reset, rowstore.StaleFeeds}
)

// runSteps runs the steps at their times and returns when all have ended.
func (h *harness) runSteps(ctx context.Context, steps []Step) {
	started := time.Now()
	var running sync.WaitGroup
	for _, step := range steps {
		sleep(ctx, time.Until(started.Add(step.At)))
		if ctx.Err() != nil {
			break
		}
		running.Go(func() {
			if err := h.runStep(ctx, step); err != nil && ctx.Err() == nil {
				h.fail(err)
			}
		})
	}
	running.Wait()
}

func (h *harness) runStep(ctx context.Context, s Step) error {
	switch s.Kind {
	case kindPause, kindKill, kindCut, kindReset, kindDelay, kindStop, kindHangup, kindSettings:
		return h.runGatewayStep(ctx, s, h.gateways[s.Who])
	case kindServerScript, kindServerCrash, kindServerPause, kindServerReset, kindServerRelease, kindServerDrain, kindServerBackoff, kindServerFailing, kindServerEndless:
		return h.runServerStep(ctx, s, h.servers[s.Who])
	case kindRoutes:
		routeDelta := routesPerStep
		if h.states.extraRouteCount()+routeDelta > maxExtraRoutes {
			routeDelta = -h.states.extraRouteCount()
		}
		return h.writeState(ctx, 0, routeDelta, false)
	case kindIdleTimeout:
		return h.writeState(ctx, idleTimeouts[s.How%len(idleTimeouts)], 0, false)
	case kindKeys:
		return h.writeState(ctx, 0, 0, true)
	default:
		return h.runStoreStep(ctx, s)
	}
}

func (h *harness) runGatewayStep(ctx context.Context, s Step, g *gatewayProcess) error {
	switch s.Kind {
	case kindPause:
		endFault := h.recordFault(g.name, s.Kind)
		g.addPause(1)
		sleep(ctx, s.For)
		g.addPause(-1)
		endFault()
	case kindCut:
		endFault := h.recordFault(g.name, s.Kind)
		// Blocks one direction or both.
		mask := s.How%3 + 1
		for direction := range directionCount {
			if mask&(1<<direction) != 0 {
				g.frontProxy.setBlocked(direction, true)
				defer g.frontProxy.setBlocked(direction, false)
			}
		}
		sleep(ctx, s.For)
		defer endFault()
	case kindReset:
		endFault := h.recordFault(g.name, s.Kind)
		g.frontProxy.reset()
		endFault()
	case kindDelay:
		defer g.frontProxy.addDelay(minPathDelay, minPathDelay+time.Duration(s.How)*time.Millisecond%(maxPathDelay-minPathDelay))()
		sleep(ctx, s.For)
	case kindHangup:
		g.sendHangup()
	case kindSettings:
		return g.changeSettings(s.How)
	default:
		return h.restart(ctx, s, g)
	}
	return nil
}

// restart stops or kills a gateway and starts it on the same or another address.
// It does nothing if another restart is in progress.
func (h *harness) restart(ctx context.Context, s Step, g *gatewayProcess) error {
	if !g.lifecycle.TryLock() {
		return nil
	}
	defer g.lifecycle.Unlock()
	endFault := func() {}
	if s.Kind == kindKill {
		endFault = h.recordFault(g.name, s.Kind)
		if err := g.Kill(); err != nil {
			return err
		}
	} else {
		h.stop(g)
	}
	if s.How%2 == 0 {
		if err := g.changeListenAddr(); err != nil {
			return err
		}
	}
	sleep(ctx, time.Duration(s.How)*time.Millisecond%maxDowntime)
	err := g.Restart(ctx)
	endFault()
	return err
}

// stop terminates a gateway, and kills it if the grace period expires.
func (h *harness) stop(g *gatewayProcess) {
	stop := Stop{Gateway: g.name, At: time.Now(), Grace: gracePeriod}
	ctx, cancel := context.WithTimeout(context.Background(), gracePeriod)
	defer cancel()
	watch, endWatch := context.WithCancel(ctx)
	gone := make(chan time.Time, 1)
	pid := g.PID()
	go func() { gone <- fleet.WaitGone(watch, pid) }()
	stop.Failed = g.Terminate(ctx) != nil
	stop.End = time.Now()
	endWatch()
	stop.Gone = <-gone
	if stop.Failed {
		// The process may have exited meanwhile.
		_ = g.Kill()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.Stops = append(h.history.Stops, stop)
}

// runServerStep runs a step of a server. It does nothing if another step of the
// server is in progress.
func (h *harness) runServerStep(ctx context.Context, s Step, server *serverProcess) error {
	if !server.lifecycle.TryLock() {
		return nil
	}
	defer server.lifecycle.Unlock()
	switch s.Kind {
	case kindServerScript, kindServerBackoff, kindServerFailing, kindServerEndless:
		script := scriptBackoff
		switch s.Kind {
		case kindServerScript:
			script = scriptNames[s.How%len(scriptNames)]
		case kindServerFailing:
			script = failingScripts[s.How%len(failingScripts)]
		case kindServerEndless:
			script = endlessNames[s.How%len(endlessNames)]
		}
		if err := server.setScript(ctx, script); err != nil {
			return err
		}
		sleep(ctx, s.For)
		return server.setScript(context.WithoutCancel(ctx), scriptNames[0])
	case kindServerPause:
		endFault := h.recordFault(server.name, s.Kind)
		defer endFault()
		if err := server.Pause(); err != nil {
			return err
		}
		sleep(ctx, s.For)
		return server.Resume()
	case kindServerReset:
		endFault := h.recordFault(server.name, s.Kind)
		defer endFault()
		server.proxy.reset()
		return nil
	case kindServerRelease:
		return h.release(ctx, s, server)
	case kindServerDrain:
		return h.announceDrain(ctx, s, server)
	}
	endFault := h.recordFault(server.name, s.Kind)
	defer endFault()
	h.endServerSpan(server)
	if err := server.Kill(); err != nil {
		return err
	}
	sleep(ctx, time.Duration(s.How)*time.Millisecond%maxDowntime)
	if s.How%2 == 0 {
		h.beginServerSpan(server)
		return server.Restart(ctx)
	}
	return h.replace(ctx, server)
}

// release drains a server and replaces it by an instance of another software version.
// The server's end excuses a lost request, because gateways that can't read the store
// don't know that it drains.
func (h *harness) release(ctx context.Context, s Step, server *serverProcess) error {
	h.endServerSpan(server)
	if err := server.list(ctx, "draining"); err != nil {
		return err
	}
	sleep(ctx, drainTime)
	return h.endRelease(ctx, s, server)
}

// announceDrain has a server say in its responses that it drains, while its entry still says that it is
// ready, and replaces it by an instance of another software version.
func (h *harness) announceDrain(ctx context.Context, s Step, server *serverProcess) error {
	if err := server.setScript(ctx, scriptDrain); err != nil {
		return err
	}
	h.endServerSpan(server)
	sleep(ctx, announcedDrainTime)
	return h.endRelease(ctx, s, server)
}

// endRelease kills a server that has announced its end and starts an instance of another software version.
func (h *harness) endRelease(ctx context.Context, s Step, server *serverProcess) error {
	endFault := h.recordFault(server.name, s.Kind)
	defer endFault()
	if err := server.Kill(); err != nil {
		return err
	}
	server.version = softwareVersions[s.How%len(softwareVersions)]
	return h.replace(context.WithoutCancel(ctx), server)
}

// replace removes the entry of a server's instance, which has ended, and starts another
// instance.
func (h *harness) replace(ctx context.Context, server *serverProcess) error {
	if err := h.store.remove(ctx, "servers", server.instance()); err != nil {
		return err
	}
	h.beginServerSpan(server)
	return server.startInstance(ctx)
}

// restoreStore restores the store from an older snapshot during a short outage. The lost
// rows are written again soon after, as by operators and servers.
func (h *harness) restoreStore(ctx context.Context, s Step) error {
	if err := h.store.control(ctx, pathSnapshot); err != nil {
		return err
	}
	sleep(ctx, min(s.For, maxSnapshotAge))
	ctx = context.WithoutCancel(ctx)
	endFault, err := h.store.faults.begin(ctx, rowstore.Unavailable)
	if err := errors.Join(err, h.store.control(ctx, pathRestore)); err != nil {
		return err
	}
	sleep(ctx, restoreOutage)
	if err := endFault(); err != nil {
		return err
	}
	sleep(ctx, rewriteDelay)
	return h.store.control(ctx, pathRewrite)
}

func (h *harness) runStoreStep(ctx context.Context, s Step) error {
	switch s.Kind {
	case kindStoreTruncate:
		return h.store.truncateHistory(ctx)
	case kindStoreRestore:
		return h.restoreStore(ctx, s)
	case kindDutiesFault:
		endFault, err := h.store.dutiesFaults.begin(ctx, dutiesFaults[s.How%len(dutiesFaults)])
		if err != nil {
			return err
		}
		sleep(ctx, s.For)
		// The platform then runs the calls that it had delayed.
		return errors.Join(endFault(), h.store.control(context.WithoutCancel(ctx), pathRunDelayed))
	case kindStoreFault:
		endFault, err := h.store.faults.begin(ctx, storeFaults[s.How%len(storeFaults)])
		if err != nil {
			return err
		}
		sleep(ctx, s.For)
		return endFault()
	case kindStoreSlow:
		for _, g := range h.gateways {
			defer g.storeProxy.addDelay(storeDelay, storeDelay)()
		}
		sleep(ctx, s.For)
	case kindStoreCut:
		path, direction := h.gateways[s.How%len(h.gateways)].storeProxy, s.How/8%directionCount
		path.setBlocked(direction, true)
		defer path.setBlocked(direction, false)
		sleep(ctx, s.For)
	default:
		return errors.Errorf("no step %q", s.Kind)
	}
	return nil
}
