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

// maxFeedSilence is how long after a change the store's feed may still respond without it. A feed
// response therefore confirms the state only as of maxFeedSilence before the asOf time that
// follow.Sink receives.
const maxFeedSilence = time.Second

// desiredStateSink applies the desired state from its follower to the holder.
type desiredStateSink struct {
	holder *routes.Holder
	// registry is notified when the store becomes unavailable or available again. Calls for the
	// desired state have a shorter wait than those for the list of backend servers, so they are the
	// first to fail or succeed.
	registry *backend.Registry
	log      *zap.Logger
	// storeConfirmedAt is the latest time, in nanoseconds of the boottime clock, at which the store
	// itself confirmed the state in force as the newest; 0 for none.
	storeConfirmedAt atomic.Int64
	// unavailableSince is when calls to the store began to fail, in nanoseconds of the boottime
	// clock; 0 while the store responds.
	unavailableSince atomic.Int64
	// unreadable is set while the newest state can't be decoded, so that nothing confirms the state
	// in force as the newest.
	unreadable atomic.Bool
	// outdated is set while the store holds an older state than this process has seen, for example
	// after a restore from an older copy. Such a store confirms nothing.
	outdated atomic.Bool
}

var _ follow.Sink[*routes.Snapshot] = (*desiredStateSink)(nil)

// Reset implements follow.Sink.
func (s *desiredStateSink) Reset(asOf time.Duration, all follow.Batch[*routes.Snapshot]) {
	s.outdated.Store(s.holder.Version() != 0)
	s.apply(asOf, all)
}

// Change implements follow.Sink.
func (s *desiredStateSink) Change(asOf time.Duration, changes follow.Batch[*routes.Snapshot]) {
	s.apply(asOf-maxFeedSilence, changes)
}

// Unavailable implements follow.Sink.
func (s *desiredStateSink) Unavailable(error) {
	s.registry.MarkStoreUnavailable()
	s.unavailableSince.CompareAndSwap(0, int64(boottime.Now()))
}

// Available implements follow.Sink.
func (s *desiredStateSink) Available() {
	s.registry.MarkStoreAvailable(time.Now())
	s.unavailableSince.Store(0)
}

// unavailableFor returns how long calls to the store have been failing; 0 while the store responds.
func (s *desiredStateSink) unavailableFor() time.Duration {
	since := time.Duration(s.unavailableSince.Load())
	if since == 0 {
		return 0
	}
	return boottime.Now() - since
}

// apply passes the states of a batch to the holder. Unless the newest state is unreadable or older
// than the one in force, the batch confirms that the state in force was the newest at confirmedAt.
func (s *desiredStateSink) apply(confirmedAt time.Duration, batch follow.Batch[*routes.Snapshot]) {
	s.Available()
	if len(batch.Unreadable) > 0 {
		s.unreadable.Store(true)
	}
	for _, snapshot := range batch.Items {
		if snapshot == nil {
			continue
		}
		s.unreadable.Store(false)
		s.outdated.Store(snapshot.Version < s.holder.Version())
		if s.holder.Update(snapshot, confirmedAt) {
			s.log.Info(logging.EventTargetsAdopted, zap.Uint64("version", snapshot.Version), zap.Int("routes", snapshot.RouteCount()), zap.Duration("idle_limit", snapshot.Limits.IdleTimeout))
		}
	}
	if !s.unreadable.Load() && !s.outdated.Load() {
		// Only the follower's goroutine writes storeConfirmedAt, so load and store needn't be atomic
		// together.
		s.storeConfirmedAt.Store(max(s.storeConfirmedAt.Load(), int64(confirmedAt)))
		s.holder.Confirm(s.holder.Version(), confirmedAt)
	}
}
