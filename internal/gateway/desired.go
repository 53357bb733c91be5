package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/internal/logging"
)

// feedSilence is for how long a store's feed may stay silent while changes are
// made. An answer of the feed without news proves only that the state was the
// newest this long before the call.
const feedSilence = time.Second

// desired takes the desired state from its follower into the holder.
type desired struct {
	holder *routes.Holder
	// registry is told when the store is away and back: calls about the desired
	// state are held back for a shorter time than those about servers, and
	// notice it first.
	registry *backend.Registry
	log      *zap.Logger
	// provenAt is the latest moment, in nanoseconds of boottime's clock, that
	// the store itself has proved; 0 for none.
	provenAt atomic.Int64
	// awaySince is when calls began to fail, in nanoseconds of the same clock;
	// 0 while the store answers.
	awaySince atomic.Int64
	// unreadable says that the newest state can't be read, so that nothing
	// proves the one in force to be the newest.
	unreadable atomic.Bool
	// behind says that the store holds an older state than this process has seen, as
	// after its return from an older copy: it proves nothing then.
	behind atomic.Bool
}

var _ follow.Sink[*routes.Set] = (*desired)(nil)

// Reset implements follow.Sink.
func (d *desired) Reset(moment time.Duration, all follow.Batch[*routes.Set]) {
	d.behind.Store(d.holder.Version() != 0)
	d.take(moment, all)
}

// Change implements follow.Sink.
func (d *desired) Change(moment time.Duration, changes follow.Batch[*routes.Set]) {
	d.take(moment-feedSilence, changes)
}

// Unavailable implements follow.Sink.
func (d *desired) Unavailable(error) {
	d.registry.Unavailable()
	d.awaySince.CompareAndSwap(0, int64(boottime.Now()))
}

// Available implements follow.Sink.
func (d *desired) Available() {
	d.registry.Available(time.Now())
	d.awaySince.Store(0)
}

// away is for how long the store hasn't answered; 0 while it does.
func (d *desired) away() time.Duration {
	since := time.Duration(d.awaySince.Load())
	if since == 0 {
		return 0
	}
	return boottime.Now() - since
}

func (d *desired) take(moment time.Duration, batch follow.Batch[*routes.Set]) {
	d.Available()
	if len(batch.Unreadable) > 0 {
		d.unreadable.Store(true)
	}
	for _, s := range batch.Items {
		if s == nil {
			continue
		}
		d.unreadable.Store(false)
		d.behind.Store(s.Version < d.holder.Version())
		if d.holder.Offer(s, moment) {
			d.log.Info(logging.EventTargetsAdopted, zap.Uint64("version", s.Version), zap.Int("routes", s.Routes()), zap.Duration("idle_limit", s.Limits.IdleTime))
		}
	}
	if !d.unreadable.Load() && !d.behind.Load() {
		// One goroutine writes it.
		d.provenAt.Store(max(d.provenAt.Load(), int64(moment)))
		d.holder.Prove(d.holder.Version(), moment)
	}
}
