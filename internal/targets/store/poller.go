package store

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/internal/targets"
)

// Timing of a Poller.
const (
	// PollInterval is the mean time between two reads of the head row. It
	// must be short enough for a change to reach the agents within 14
	// seconds, and no shorter than needed: with 410 entries, 3 seconds cause
	// 137 reads per second.
	PollInterval = 3 * time.Second
	// pollJitter is the maximum random deviation of an interval from
	// PollInterval. It spreads out the reads of entries that started at the
	// same time.
	pollJitter = PollInterval / 4
	// pollTimeout limits one poll, so that a call that never returns doesn't
	// stop polling.
	pollTimeout = 5 * time.Second
)

// Poller periodically reads the Store and updates a Cache with newer Sets.
type Poller struct {
	store *Store
	cache *targets.Cache
	log   *zap.Logger
}

// NewPoller returns a Poller that is started by Run. If log is nil, nothing is
// logged.
func NewPoller(store *Store, cache *targets.Cache, log *zap.Logger) *Poller {
	if log == nil {
		log = zap.NewNop()
	}
	return &Poller{store: store, cache: cache, log: log}
}

// Run polls immediately and then at jittered intervals until ctx ends. It
// doesn't back off while the table service is down: polling causes the same
// load as when the service is up, and recovery is detected within one interval.
func (p *Poller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.Poll(ctx); err != nil && ctx.Err() == nil {
			p.log.Warn(logging.EventTargetsPollFailed, zap.Error(err))
		}
		pause.Sleep(ctx, PollInterval-pollJitter+rand.N(2*pollJitter))
	}
}

// Poll reads the head row once and, if its version is newer than the Cache's,
// loads the stored Set into the Cache. It returns ErrUnavailable or ErrCorrupt.
func (p *Poller) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	version, err := p.store.Version(ctx)
	if err != nil {
		return err
	}
	if version <= p.cache.Current().Version {
		return nil
	}
	set, err := p.store.Load(ctx)
	if err != nil {
		return err
	}
	if p.cache.UpdateIfNewer(set) {
		p.log.Info(logging.EventTargetsAdopted, zap.Uint64("version", set.Version), zap.String("source", "table"))
	}
	return nil
}
