package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/lease/orders"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

const (
	// switchPoll is how often it is seen whether what runs has ended.
	switchPoll = 50 * time.Millisecond
	// loadTimeout bounds an engine's answer to an order to load a model.
	loadTimeout = 5 * time.Minute
)

// followOrders carries out the orders to this VM's agent until ctx ends. The
// guard refuses old fencing numbers, also for an engine that ignores them.
func (a *Agent) followOrders(ctx context.Context) {
	if a.model == nil {
		return
	}
	guard := orders.NewGuard(a.tables, orders.LeaseName, a.settings.Process)
	orders.NewFollower(guard, a.load, a.log).Run(ctx)
}

// load makes the engine load a model: nothing new is granted, what runs ends,
// then the engine is told, and the agent serves the new model.
func (a *Agent) load(ctx context.Context, order orders.Order) error {
	a.table.beginSwitch()
	serves := a.table.serving()
	defer func() { a.table.endSwitch(serves, a.hello) }()
	if err := a.awaitIdle(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := a.model.Order(ctx, engine.Order{Fence: order.Fence, LoadModel: order.Model}); err != nil {
		return errors.Wrap(err, "order engine")
	}
	serves = order.Model
	a.ring.Record(timeline.KindOrder, "", "", "loaded "+order.Model)
	return nil
}

func (a *Agent) awaitIdle(ctx context.Context) error {
	timer := time.NewTicker(switchPoll)
	defer timer.Stop()
	for !a.table.idle() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for runs to end")
		case <-timer.C:
		}
	}
	return nil
}

// serving is the model or service that is served now.
func (tb *table) serving() string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.serves
}

// idle reports whether nothing is granted or runs.
func (tb *table) idle() bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return len(tb.grants.offered) == 0 && len(tb.grants.used) == 0
}

// beginSwitch refuses what waits and grants nothing until endSwitch.
func (tb *table) beginSwitch() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.switching = true
	tb.refuseWaiting(wire.ReasonSwitching)
	tb.tell(wire.Message{Status: tb.status(0)})
}

// endSwitch tells all entries what is served from now on.
func (tb *table) endSwitch(serves string, hello func(serves string) *wire.Hello) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.switching = false
	tb.serves = serves
	tb.tell(wire.Message{Hello: hello(serves), Status: tb.status(0)})
}
