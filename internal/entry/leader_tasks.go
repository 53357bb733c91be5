package entry

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/claim"
	"github.com/applepier/applepier/internal/entry/fleet"
	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/lease/orders"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/policy"
)

// decideEvery is how often the holder looks whether an order is due.
const orderInterval = time.Second

// duties are what one entry does for all, under a lease: it removes old claims
// and orders engines to load models.
type leaderTasks struct {
	targets  *targets.Holder
	fleet    *fleet.Fleet
	orders   *orders.Book
	sweeper  *claim.Sweeper
	timeline *timeline.Ring
	log      *zap.Logger
	// known are the models that classes may want.
	knownModels knownModels
}

// run campaigns for the lease until ctx ends.
func (e *entry) runLeaderTasks(ctx context.Context) {
	t := &leaderTasks{
		targets:  e.targets,
		fleet:    e.fleet,
		orders:   orders.NewBook(e.platform),
		sweeper:  claim.NewSweeper(e.platform, e.log),
		timeline: e.timeline,
		log:      e.log,
	}
	leaderLease := lease.New(e.platform, orders.LeaseName, e.settings.Process)
	lease.NewKeeper(leaderLease, e.log).Run(ctx, t.runWhileLeader)
}

// act does all duties while the lease is held.
func (t *leaderTasks) runWhileLeader(ctx context.Context, leaderLease *lease.Lease) error {
	t.timeline.Record(timeline.KindLease, "", "", "acquired")
	defer t.timeline.Record(timeline.KindLease, "", "", "ended")
	var wg conc.WaitGroup
	wg.Go(func() { _ = t.sweeper.Run(ctx, leaderLease.Check) })
	wg.Go(func() { t.runModelMover(ctx, leaderLease) })
	wg.Wait()
	return ctx.Err()
}

func (t *leaderTasks) runModelMover(ctx context.Context, leaderLease *lease.Lease) {
	mover := policy.NewModelMover()
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			t.updateKnownModels()
			if move, ok := mover.Next(now, t.knownModels.filter(t.configuredModels()), t.availableEngines()); ok {
				t.orderModelLoad(ctx, leaderLease, move)
			}
		}
	}
}

func (t *leaderTasks) orderModelLoad(ctx context.Context, leaderLease *lease.Lease, move policy.ModelMove) {
	if err := t.orders.Give(ctx, leaderLease, move.Engine, move.Model); err != nil {
		t.log.Warn(logging.EventOrderFailed, logging.Peer(move.Engine), logging.Reason(err.Error()))
		return
	}
	t.timeline.Record(timeline.KindOrder, "", "", move.Engine+" loads "+move.Model)
	t.log.Info(logging.EventOrderGiven, logging.Peer(move.Engine), zap.String("model", move.Model), zap.Uint64("fence", leaderLease.Fence()))
}

// noteModels notes which models there are: those that the VM list names, and
// those that agents serve while this process holds the lease.
func (t *leaderTasks) updateKnownModels() {
	t.knownModels.add(t.fleet.Serves()...)
	for _, v := range t.fleet.Agents() {
		if v.Serves != "" {
			t.knownModels.add(v.Serves)
		}
	}
}

// wanted lists the models that classes run on.
func (t *leaderTasks) configuredModels() []string {
	var models []string
	for _, c := range t.targets.Current().Classes {
		if !c.Retired && c.Model != "" {
			models = append(models, c.Model)
		}
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// engines lists the engines that this entry hears from. An entry connects to
// 24 of each model, or all; a model with none of those is lost to it as well.
func (t *leaderTasks) availableEngines() []policy.ModelEngine {
	var engines []policy.ModelEngine
	for _, v := range t.fleet.Agents() {
		if v.Connected && !v.Leaving && !v.EngineDown && v.Loads {
			engines = append(engines, policy.ModelEngine{Name: v.VM.Name, Model: v.Serves, Busy: v.Waiting + v.Running})
		}
	}
	return engines
}
