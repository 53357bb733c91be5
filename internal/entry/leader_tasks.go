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

// orderInterval is how often the leader checks whether a backend server should load
// another model.
const orderInterval = time.Second

// leaderTasks are the tasks that one entry at a time runs for the whole fleet while it
// holds a lease: it removes expired idempotency claims and orders backend servers to load
// models.
type leaderTasks struct {
	targets  *targets.Cache
	fleet    *fleet.Fleet
	orders   *orders.Store
	sweeper  *claim.Sweeper
	timeline *timeline.Ring
	log      *zap.Logger
	// knownModels limits orders to models that are known to exist.
	knownModels knownModels
}

// runLeaderTasks campaigns for the lease and runs the tasks while this entry holds it,
// until ctx is cancelled.
func (e *entry) runLeaderTasks(ctx context.Context) {
	t := &leaderTasks{
		targets:  e.targets,
		fleet:    e.fleet,
		orders:   orders.NewStore(e.platform),
		sweeper:  claim.NewSweeper(e.platform, e.log),
		timeline: e.timeline,
		log:      e.log,
	}
	leaderLease := lease.New(e.platform, orders.LeaseName, e.settings.Process)
	lease.NewElector(leaderLease, e.log).Run(ctx, t.runWhileLeader)
}

// runWhileLeader runs all tasks until ctx is cancelled, which happens when the lease is
// lost.
func (t *leaderTasks) runWhileLeader(ctx context.Context, leaderLease *lease.Lease) error {
	t.timeline.Record(timeline.KindLease, "", "", "acquired")
	defer t.timeline.Record(timeline.KindLease, "", "", "ended")
	var wg conc.WaitGroup
	wg.Go(func() { _ = t.sweeper.Run(ctx, leaderLease.Check) })
	wg.Go(func() { t.runModelMover(ctx, leaderLease) })
	wg.Wait()
	return ctx.Err()
}

// runModelMover checks every orderInterval whether a backend server should load another
// model, and issues the order.
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
			if move, ok := mover.Next(now, t.knownModels.filter(t.configuredModels()), t.availableBackendServers()); ok {
				t.orderModelLoad(ctx, leaderLease, move)
			}
		}
	}
}

func (t *leaderTasks) orderModelLoad(ctx context.Context, leaderLease *lease.Lease, move policy.ModelMove) {
	if err := t.orders.Issue(ctx, leaderLease, move.Engine, move.Model); err != nil {
		t.log.Warn(logging.EventOrderFailed, logging.Peer(move.Engine), logging.Reason(err.Error()))
		return
	}
	t.timeline.Record(timeline.KindOrder, "", "", move.Engine+" loads "+move.Model)
	t.log.Info(logging.EventOrderIssued, logging.Peer(move.Engine), zap.String("model", move.Model), zap.Uint64("fence", leaderLease.FencingToken()))
}

// updateKnownModels adds the models that the VM list names and those that connected
// agents serve. It runs only while this process holds the lease.
func (t *leaderTasks) updateKnownModels() {
	t.knownModels.add(t.fleet.Serves()...)
	for _, agent := range t.fleet.Agents() {
		if agent.Serves != "" {
			t.knownModels.add(agent.Serves)
		}
	}
}

// configuredModels returns the models that active classes run on, sorted and without
// duplicates.
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

// availableBackendServers returns the connected backend servers that can load a model. An
// entry connects to the agents of at most 24 backend servers of each model; if none of
// those is connected, the model counts as not served.
func (t *leaderTasks) availableBackendServers() []policy.ModelEngine {
	var servers []policy.ModelEngine
	for _, agent := range t.fleet.Agents() {
		if agent.Connected && !agent.Draining && !agent.BackendServerDown && agent.CanLoadModels {
			servers = append(servers, policy.ModelEngine{Name: agent.VM.Name, Model: agent.Serves, ActiveRequests: agent.Waiting + agent.Running})
		}
	}
	return servers
}
