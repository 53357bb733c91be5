package soak

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/cloud"
	"github.com/applepier/applepier/testbed/rowstore"
)

const (
	// delayLeast and delayMost are of a slow path, storeDelay of a slow store.
	delayLeast = 50 * time.Millisecond
	delayMost  = 1600 * time.Millisecond
	storeDelay = 1500 * time.Millisecond
	// downMost is how long a process that was killed stays down.
	downMost = 1500 * time.Millisecond
	// oldestCopy is how old a copy is from which the store comes back, returnAway for how
	// long it is away then, and writtenAgain when what was lost is written again.
	oldestCopy   = 3 * time.Second
	returnAway   = 200 * time.Millisecond
	writtenAgain = 500 * time.Millisecond
	// routesMore come at once, at most routesMost are there.
	routesMore = 1500
	routesMost = 6000
)

var (
	idles        = []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second}
	dutiesFaults = []cloud.Fault{cloud.Busy, cloud.Silent, cloud.Lost, cloud.Late}
	storeFaults  = []rowstore.Fault{rowstore.Busy, rowstore.Throttled, rowstore.Silent, rowstore.Reset, rowstore.Mute}
)

// trouble plays the steps and returns when each has been lifted.
func (r *rig) trouble(ctx context.Context, steps []Step) {
	began := time.Now()
	var all sync.WaitGroup
	for _, step := range steps {
		sleep(ctx, time.Until(began.Add(step.At)))
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			if err := r.play(ctx, step); err != nil && ctx.Err() == nil {
				r.fail(err)
			}
		})
	}
	all.Wait()
}

func (r *rig) play(ctx context.Context, s Step) error {
	switch s.Kind {
	case kindFreeze, kindKill, kindCut, kindReset, kindDelay, kindStop, kindHangUp, kindSettings:
		return r.playGateway(ctx, s, r.gateways[s.Who])
	case kindScript, kindCrash, kindServer, kindWay:
		return r.playServer(ctx, s, r.servers[s.Who])
	case kindRoutes:
		more := routesMore
		if r.state.count()+more > routesMost {
			more = -r.state.count()
		}
		return r.desire(ctx, 0, more, false)
	case kindIdle:
		return r.desire(ctx, idles[s.How%len(idles)], 0, false)
	case kindKeys:
		return r.desire(ctx, 0, 0, true)
	default:
		return r.playStore(ctx, s)
	}
}

func (r *rig) playGateway(ctx context.Context, s Step, g *gatewayProcess) error {
	switch s.Kind {
	case kindFreeze:
		lifted := r.hit(g.name, s.Kind)
		g.freeze(1)
		sleep(ctx, s.For)
		g.freeze(-1)
		lifted()
	case kindCut:
		lifted := r.hit(g.name, s.Kind)
		// Either way, or both.
		ways := s.How%3 + 1
		for direction := range directions {
			if ways&(1<<direction) != 0 {
				g.front.silence(direction, true)
				defer g.front.silence(direction, false)
			}
		}
		sleep(ctx, s.For)
		defer lifted()
	case kindReset:
		lifted := r.hit(g.name, s.Kind)
		g.front.reset()
		lifted()
	case kindDelay:
		defer g.front.slow(delayLeast, delayLeast+time.Duration(s.How)*time.Millisecond%(delayMost-delayLeast))()
		sleep(ctx, s.For)
	case kindHangUp:
		g.hangUp()
	case kindSettings:
		return g.change(s.How)
	default:
		return r.restart(ctx, s, g)
	}
	return nil
}

// restart ends a gateway, as planned or by force, and starts it under the same
// or another address, unless that is under way.
func (r *rig) restart(ctx context.Context, s Step, g *gatewayProcess) error {
	if !g.life.TryLock() {
		return nil
	}
	defer g.life.Unlock()
	lifted := func() {}
	if s.Kind == kindKill {
		lifted = r.hit(g.name, s.Kind)
		if err := g.Kill(); err != nil {
			return err
		}
	} else {
		r.stop(g)
	}
	if s.How%2 == 0 {
		if err := g.move(); err != nil {
			return err
		}
	}
	sleep(ctx, time.Duration(s.How)*time.Millisecond%downMost)
	err := g.Restart(ctx)
	lifted()
	return err
}

// stop has a gateway stop, and kills it when its time is up.
func (r *rig) stop(g *gatewayProcess) {
	stop := Stop{Gateway: g.name, At: time.Now(), Grace: grace}
	limit, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	stop.Failed = g.Terminate(limit) != nil
	stop.End = time.Now()
	if stop.Failed {
		// It may have ended at the last moment.
		_ = g.Kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Stops = append(r.history.Stops, stop)
}

func (r *rig) playServer(ctx context.Context, s Step, server *serverProcess) error {
	if !server.life.TryLock() {
		return nil
	}
	defer server.life.Unlock()
	switch s.Kind {
	case kindScript:
		if err := server.follow(ctx, scriptNames[s.How%len(scriptNames)]); err != nil {
			return err
		}
		sleep(ctx, s.For)
		return server.follow(context.WithoutCancel(ctx), scriptNames[0])
	case kindServer:
		lifted := r.hit(server.name, s.Kind)
		defer lifted()
		if err := server.Stop(); err != nil {
			return err
		}
		sleep(ctx, s.For)
		return server.Continue()
	case kindWay:
		lifted := r.hit(server.name, s.Kind)
		defer lifted()
		server.path.reset()
		return nil
	}
	lifted := r.hit(server.name, s.Kind)
	defer lifted()
	if err := server.Kill(); err != nil {
		return err
	}
	sleep(ctx, time.Duration(s.How)*time.Millisecond%downMost)
	if s.How%2 == 0 {
		return server.Restart(ctx)
	}
	if err := r.store.remove(ctx, "servers", server.instance()); err != nil {
		return err
	}
	return server.begin(ctx)
}

// storeReturns has the store come back from a copy of some time ago, after a moment away;
// operators and servers write again soon after.
func (r *rig) storeReturns(ctx context.Context, s Step) error {
	if err := r.store.order(ctx, pathCopy); err != nil {
		return err
	}
	sleep(ctx, min(s.For, oldestCopy))
	ctx = context.WithoutCancel(ctx)
	if err := errors.Join(r.store.fault(ctx, rowstore.Busy), r.store.order(ctx, pathReturn)); err != nil {
		return err
	}
	sleep(ctx, returnAway)
	if err := r.store.fault(ctx, rowstore.Well); err != nil {
		return err
	}
	sleep(ctx, writtenAgain)
	return r.store.order(ctx, pathAgain)
}

func (r *rig) playStore(ctx context.Context, s Step) error {
	switch s.Kind {
	case kindForget:
		return r.store.forget(ctx)
	case kindReturn:
		return r.storeReturns(ctx, s)
	case kindDuties:
		if err := r.store.dutiesFault(ctx, dutiesFaults[s.How%len(dutiesFaults)]); err != nil {
			return err
		}
		sleep(ctx, s.For)
		ctx = context.WithoutCancel(ctx)
		return errors.Join(r.store.dutiesFault(ctx, cloud.Well), r.store.order(ctx, pathLand))
	case kindBad:
		if err := r.store.fault(ctx, storeFaults[s.How%len(storeFaults)]); err != nil {
			return err
		}
		sleep(ctx, s.For)
		return r.store.fault(context.WithoutCancel(ctx), rowstore.Well)
	case kindSlow:
		for _, g := range r.gateways {
			defer g.store.slow(storeDelay, storeDelay)()
		}
		sleep(ctx, s.For)
	case kindStoreCut:
		path, direction := r.gateways[s.How%len(r.gateways)].store, s.How/8%directions
		path.silence(direction, true)
		defer path.silence(direction, false)
		sleep(ctx, s.For)
	}
	return nil
}
