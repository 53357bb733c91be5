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

// Timing of a Follower.
const (
	// followInterval is the mean time between two reads of the VM's order;
	// the real one is up to a quarter longer or shorter. Loading a model takes
	// far longer; 1,200 agents read 120 rows a second.
	followInterval = 10 * time.Second
	followJitter   = followInterval / 4
	// followLimit bounds the reads of one step.
	followLimit = 5 * time.Second
)

// Apply carries an order out. It must be idempotent: after a restart the last
// order is carried out again.
type Apply func(ctx context.Context, order Order) error

// Follower carries out the orders to a VM's agent.
type Follower struct {
	book  *Book
	guard *Guard
	apply Apply
	log   *zap.Logger
	// done is the id of the last order that was carried out.
	done string
	// attempts are the last order's that failed.
	attempts attempts
}

// NewFollower returns a Follower of the orders that the guard lets through. A
// nil log logs nothing.
func NewFollower(guard *Guard, apply Apply, log *zap.Logger) *Follower {
	if log == nil {
		log = zap.NewNop()
	}
	return &Follower{book: guard.book, guard: guard, apply: apply, log: log}
}

// Run follows until ctx ends. An order that failed is tried again
// ever later, as retryFrom says; another order is carried out at once.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn(logging.EventOrderFailed, zap.Error(err))
		}
		pause.For(ctx, followInterval-followJitter+rand.N(2*followJitter))
	}
}

// step carries out the newest order unless it is done. Only the order's own
// row is read while nothing is to be done; before an order is carried out, the
// newest fencing number is read again.
func (f *Follower) step(ctx context.Context) error {
	order, err := f.next(ctx)
	if errors.Is(err, ErrNone) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := f.apply(ctx, order); err != nil {
		f.attempts.failed(order.ID, time.Now())
		return errors.Wrap(err, "carry out the order")
	}
	f.done = order.ID
	f.log.Info(logging.EventOrderDone, zap.String("order", order.ID), zap.Uint64("fence", order.Fence), zap.String("model", order.Model))
	return nil
}

// next reads the order that is to be carried out, or returns ErrNone.
func (f *Follower) next(ctx context.Context) (Order, error) {
	ctx, cancel := context.WithTimeout(ctx, followLimit)
	defer cancel()
	order, err := f.book.Read(ctx, f.guard.vm)
	if err != nil {
		return Order{}, err
	}
	if order.ID == f.done || !f.attempts.due(order.ID, time.Now()) {
		return Order{}, ErrNone
	}
	if err := f.guard.Restore(ctx); err != nil {
		return Order{}, err
	}
	return order, f.guard.Admit(order.Fence)
}
