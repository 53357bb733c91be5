package orders

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
)

// Timing of an Executor.
const (
	// pollInterval is the mean time between two reads of the VM's order; each
	// interval is randomized by up to a quarter in either direction. Loading a
	// model takes far longer. With 1,200 agents this is 120 reads per second.
	pollInterval = 10 * time.Second
	pollJitter   = pollInterval / 4
	// readTimeout bounds the reads of one poll.
	readTimeout = 5 * time.Second
)

// ExecuteFunc executes an order. It must be idempotent: after a restart the last order
// is executed again.
type ExecuteFunc func(ctx context.Context, order Order) error

// Executor polls for the orders to a VM's agent and executes them.
type Executor struct {
	store   *Store
	guard   *Guard
	execute ExecuteFunc
	log     *zap.Logger
	// executedID is the ID of the last order that was executed.
	executedID string
	// backoff limits the retries of the last order that failed.
	backoff retryBackoff
}

// NewExecutor returns an Executor of the orders that the guard admits; Run starts
// it. A nil log discards all events.
func NewExecutor(guard *Guard, execute ExecuteFunc, log *zap.Logger) *Executor {
	if log == nil {
		log = zap.NewNop()
	}
	return &Executor{store: guard.store, guard: guard, execute: execute, log: log}
}

// Run polls for orders and executes them until ctx ends. A failed order is retried
// after a delay between minRetryDelay and maxRetryDelay; a different order is executed
// at the next poll.
func (e *Executor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.poll(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn(logging.EventOrderFailed, zap.Error(err))
		}
		pause.Sleep(ctx, pollInterval-pollJitter+rand.N(2*pollJitter))
	}
}

// poll executes the newest order unless that was done already. While there is
// nothing to execute, it reads only the order's row; before it executes an order, it
// reads the newest fencing token again.
func (e *Executor) poll(ctx context.Context) error {
	order, err := e.nextOrder(ctx)
	if errors.Is(err, ErrNone) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := e.execute(ctx, order); err != nil {
		e.backoff.recordFailure(order.ID, time.Now())
		return errors.Wrap(err, "execute order")
	}
	e.executedID = order.ID
	e.log.Info(logging.EventOrderCompleted, zap.String("order", order.ID), zap.Uint64("fence", order.FencingToken), zap.String("model", order.Model))
	return nil
}

// nextOrder returns the order to execute. It returns ErrNone if the newest order was
// executed already or may not be retried yet, or if none was issued. Other errors:
// those of Store.Read, Guard.Refresh and Guard.Admit.
func (e *Executor) nextOrder(ctx context.Context) (Order, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	order, err := e.store.Read(ctx, e.guard.vm)
	if err != nil {
		return Order{}, err
	}
	if order.ID == e.executedID || !e.backoff.due(order.ID, time.Now()) {
		return Order{}, ErrNone
	}
	if err := e.guard.Refresh(ctx); err != nil {
		return Order{}, err
	}
	return order, e.guard.Admit(order.FencingToken)
}
