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
	// idlePollInterval is the time between two checks whether all runs ended.
	idlePollInterval = 50 * time.Millisecond
	// loadTimeout bounds the engine's response to an order to load a model.
	loadTimeout = 5 * time.Minute
)

// executeOrders executes the orders for this VM's agent until ctx ends. The
// guard rejects orders with a stale fencing token, because an engine may ignore
// the token.
func (a *Agent) executeOrders(ctx context.Context) {
	if a.engine == nil {
		return
	}
	guard := orders.NewGuard(a.rowStore, orders.LeaseName, a.settings.Process)
	orders.NewExecutor(guard, a.loadModel, a.log).Run(ctx)
}

// loadModel switches the engine to another model. It stops issuing grants,
// waits for issued grants and runs to end, and sends the order to the engine.
// The agent serves the new model only if the order succeeds.
func (a *Agent) loadModel(ctx context.Context, order orders.Order) error {
	a.dispatcher.beginModelSwitch()
	served := a.dispatcher.servedName()
	defer func() { a.dispatcher.endModelSwitch(served, a.newHello) }()
	if err := a.waitIdle(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := a.engine.SendOrder(ctx, engine.Order{FencingToken: order.FencingToken, LoadModel: order.Model}); err != nil {
		return errors.Wrap(err, "send order to engine")
	}
	served = order.Model
	a.events.Record(timeline.KindOrder, "", "", "loaded "+order.Model)
	return nil
}

func (a *Agent) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for !a.dispatcher.isIdle() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for runs to end")
		case <-ticker.C:
		}
	}
	return nil
}

// servedName returns the model or service that is served now.
func (d *dispatcher) servedName() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.served
}

// isIdle reports whether no grant is issued or running.
func (d *dispatcher) isIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.grants.issued) == 0 && len(d.grants.running) == 0
}

// beginModelSwitch refuses all waiting tickets. No grants are issued until
// endModelSwitch.
func (d *dispatcher) beginModelSwitch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.switching = true
	d.refuseWaiting(wire.ReasonSwitching)
	d.broadcastLocked(wire.Message{Status: d.statusLocked(0)})
}

// endModelSwitch allows grants again and notifies all entries of the model that is
// served now.
func (d *dispatcher) endModelSwitch(served string, newHello func(served string) *wire.Hello) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.switching = false
	d.served = served
	d.broadcastLocked(wire.Message{Hello: newHello(served), Status: d.statusLocked(0)})
}
