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
const decideEvery = time.Second

// duties are what one entry does for all, under a lease: it removes old claims
// and orders engines to load models.
type duties struct {
	holder  *targets.Holder
	fleet   *fleet.Fleet
	book    *orders.Book
	sweeper *claim.Sweeper
	ring    *timeline.Ring
	log     *zap.Logger
	// known are the models that classes may want.
	known knownModels
}

// run campaigns for the lease until ctx ends.
func (e *entry) runDuties(ctx context.Context) {
	d := &duties{
		holder:  e.holder,
		fleet:   e.fleet,
		book:    orders.NewBook(e.platform),
		sweeper: claim.NewSweeper(e.platform, e.log),
		ring:    e.ring,
		log:     e.log,
	}
	held := lease.New(e.platform, orders.LeaseName, e.settings.Process)
	lease.NewKeeper(held, e.log).Run(ctx, d.act)
}

// act does all duties while the lease is held.
func (d *duties) act(ctx context.Context, held *lease.Lease) error {
	d.ring.Record(timeline.KindLease, "", "", "acquired")
	defer d.ring.Record(timeline.KindLease, "", "", "ended")
	var wg conc.WaitGroup
	wg.Go(func() { _ = d.sweeper.Run(ctx, held.Check) })
	wg.Go(func() { d.orderModels(ctx, held) })
	wg.Wait()
	return ctx.Err()
}

func (d *duties) orderModels(ctx context.Context, held *lease.Lease) {
	mover := policy.NewModelMover()
	timer := time.NewTicker(decideEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			d.noteModels()
			if move, ok := mover.Next(now, d.known.only(d.wanted()), d.engines()); ok {
				d.order(ctx, held, move)
			}
		}
	}
}

func (d *duties) order(ctx context.Context, held *lease.Lease, move policy.ModelMove) {
	if err := d.book.Give(ctx, held, move.Engine, move.Model); err != nil {
		d.log.Warn(logging.EventOrderFailed, logging.Peer(move.Engine), logging.Reason(err.Error()))
		return
	}
	d.ring.Record(timeline.KindOrder, "", "", move.Engine+" loads "+move.Model)
	d.log.Info(logging.EventOrderGiven, logging.Peer(move.Engine), zap.String("model", move.Model), zap.Uint64("fence", held.Fence()))
}

// noteModels notes which models there are: those that the VM list names, and
// those that agents serve while this process holds the lease.
func (d *duties) noteModels() {
	d.known.note(d.fleet.Serves()...)
	for _, v := range d.fleet.Agents() {
		if v.Serves != "" {
			d.known.note(v.Serves)
		}
	}
}

// wanted lists the models that classes run on.
func (d *duties) wanted() []string {
	var models []string
	for _, c := range d.holder.Current().Classes {
		if !c.Retired && c.Model != "" {
			models = append(models, c.Model)
		}
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// engines lists the engines that this entry hears from. An entry connects to
// 24 of each model, or all; a model with none of those is lost to it as well.
func (d *duties) engines() []policy.ModelEngine {
	var engines []policy.ModelEngine
	for _, v := range d.fleet.Agents() {
		if v.Connected && !v.Leaving && !v.EngineDown && v.Loads {
			engines = append(engines, policy.ModelEngine{Name: v.VM.Name, Model: v.Serves, Busy: v.Waiting + v.Running})
		}
	}
	return engines
}
