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

// Timing of a Keeper.
const (
	// campaignInterval is the mean time between tries to get the lease; the
	// real one is up to half longer or shorter. It adds to how long nobody
	// holds the lease after its holder died. At 410 entries a lease costs
	// 137 reads a second.
	campaignInterval = 3 * time.Second
	// releaseLimit bounds giving the lease up when the process stops.
	releaseLimit = time.Second
)

// Act is what is done while a lease is held. Its context ends at the margin
// before the lease does. It calls Check before each step, since it may have
// been stopped in between, and returns soon after its context ends.
type Act func(ctx context.Context, held *Lease) error

// Keeper campaigns for a lease and acts while it holds it.
type Keeper struct {
	lease *Lease
	log   *zap.Logger
	// Standby says whether to campaign at all; nil for always.
	Standby func() bool
	// With returns writes that each renewal carries; nil for none.
	With func() []storage.Write
}

// NewKeeper returns a Keeper; Run starts it. A nil log logs nothing.
func NewKeeper(lease *Lease, log *zap.Logger) *Keeper {
	if log == nil {
		log = zap.NewNop()
	}
	return &Keeper{lease: lease, log: log.With(zap.String("lease", lease.row))}
}

// Run campaigns and acts until ctx ends. Two calls of act never overlap in
// this process. When act returns, the lease is given up and Run campaigns on.
func (k *Keeper) Run(ctx context.Context, act Act) {
	for ctx.Err() == nil {
		if (k.Standby == nil || k.Standby()) && k.acquire(ctx) {
			k.hold(ctx, act)
		}
		pause.For(ctx, k.lease.timing.Campaign/2+rand.N(k.lease.timing.Campaign))
	}
}

func (k *Keeper) acquire(ctx context.Context) bool {
	err := k.lease.Acquire(ctx)
	var held *HeldError
	if err != nil && !errors.As(err, &held) && ctx.Err() == nil {
		k.log.Debug(logging.EventLeaseRenewFailed, zap.Error(err))
	}
	return err == nil
}

// hold acts under the lease and returns once act has.
func (k *Keeper) hold(ctx context.Context, act Act) {
	k.log.Info(logging.EventLeaseAcquired, zap.Uint64("fence", k.lease.Fence()))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lapse := time.AfterFunc(k.lease.Remaining(), cancel)
	defer lapse.Stop()

	var acting conc.WaitGroup
	acting.Go(func() {
		defer cancel()
		if err := act(ctx, k.lease); err != nil && ctx.Err() == nil {
			k.log.Warn(logging.EventLeaseActFailed, zap.Error(err))
		}
	})
	k.renew(ctx, lapse)
	cancel()
	acting.Wait()
	k.release()
}

// renew renews until ctx ends or the lease is lost.
func (k *Keeper) renew(ctx context.Context, lapse *time.Timer) {
	for {
		if !pause.For(ctx, k.lease.timing.Renew) {
			return
		}
		var with []storage.Write
		if k.With != nil {
			with = k.With()
		}
		if err := k.lease.Commit(ctx, with); err != nil {
			k.log.Warn(logging.EventLeaseRenewFailed, zap.Error(err))
		}
		if k.lease.Check() != nil {
			return
		}
		lapse.Reset(k.lease.Remaining())
	}
}

func (k *Keeper) release() {
	k.log.Info(logging.EventLeaseEnded)
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	if err := k.lease.Release(ctx); err != nil {
		k.log.Warn(logging.EventLeaseReleaseFailed, zap.Error(err))
	}
}
