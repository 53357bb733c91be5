package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/internal/storage"
)

// Defaults of an Elector.
const (
	// defaultCampaignInterval is the mean time between attempts to acquire the
	// lease; each interval is randomized by up to half in either direction. It
	// adds to the time without a holder after a holder has failed. With 410
	// entries, one lease costs 137 reads per second.
	defaultCampaignInterval = 3 * time.Second
	// releaseTimeout bounds the release of the lease at shutdown.
	releaseTimeout = time.Second
)

// Work is the function that runs while a lease is held. Its context is
// cancelled SafetyMargin before the lease expires. It must call Lease.Check
// before each step, since the process may have been suspended in between, and
// must return soon after its context is cancelled.
type Work func(ctx context.Context, held *Lease) error

// Elector campaigns for a lease and runs a function while it holds it.
type Elector struct {
	lease *Lease
	log   *zap.Logger
	// ShouldCampaign reports whether to try to acquire the lease; nil means
	// always.
	ShouldCampaign func() bool
	// RenewalWrites returns writes to commit together with each renewal; nil
	// means none.
	RenewalWrites func() []storage.Write
}

// NewElector returns an Elector; Run starts it. A nil log discards all events.
func NewElector(lease *Lease, log *zap.Logger) *Elector {
	if log == nil {
		log = zap.NewNop()
	}
	return &Elector{lease: lease, log: log.With(zap.String("lease", lease.rowKey))}
}

// Run campaigns for the lease and runs work whenever it holds it, until ctx
// ends. Two calls of work never overlap in this process. When work returns, the
// lease is released and Run campaigns again.
func (e *Elector) Run(ctx context.Context, work Work) {
	for ctx.Err() == nil {
		if (e.ShouldCampaign == nil || e.ShouldCampaign()) && e.tryAcquire(ctx) {
			e.runHeld(ctx, work)
		}
		pause.Sleep(ctx, e.lease.timing.CampaignInterval/2+rand.N(e.lease.timing.CampaignInterval))
	}
}

func (e *Elector) tryAcquire(ctx context.Context) bool {
	err := e.lease.Acquire(ctx)
	var heldErr *HeldError
	if err != nil && !errors.As(err, &heldErr) && ctx.Err() == nil {
		e.log.Debug(logging.EventLeaseAcquireFailed, zap.Error(err))
	}
	return err == nil
}

// runHeld runs work, renews the lease meanwhile, and releases it after work has
// returned.
func (e *Elector) runHeld(ctx context.Context, work Work) {
	e.log.Info(logging.EventLeaseAcquired, zap.Uint64("fence", e.lease.FencingToken()))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	expiry := time.AfterFunc(e.lease.Remaining(), cancel)
	defer expiry.Stop()

	var worker conc.WaitGroup
	worker.Go(func() {
		defer cancel()
		if err := work(ctx, e.lease); err != nil && ctx.Err() == nil {
			e.log.Warn(logging.EventLeaseTaskFailed, zap.Error(err))
		}
	})
	e.renew(ctx, expiry)
	cancel()
	worker.Wait()
	e.release()
}

// renew renews the lease periodically until ctx ends or the lease is lost.
func (e *Elector) renew(ctx context.Context, expiry *time.Timer) {
	for {
		if !pause.Sleep(ctx, e.lease.timing.RenewInterval) {
			return
		}
		var writes []storage.Write
		if e.RenewalWrites != nil {
			writes = e.RenewalWrites()
		}
		if err := e.lease.Commit(ctx, writes); err != nil {
			e.log.Warn(logging.EventLeaseRenewFailed, zap.Error(err))
		}
		if e.lease.Check() != nil {
			return
		}
		expiry.Reset(e.lease.Remaining())
	}
}

func (e *Elector) release() {
	e.log.Info(logging.EventLeaseEnded)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := e.lease.Release(ctx); err != nil {
		e.log.Warn(logging.EventLeaseReleaseFailed, zap.Error(err))
	}
}
