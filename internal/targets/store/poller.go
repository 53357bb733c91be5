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
	// PollInterval is the mean time between two reads of the head. Together
	// with the spreading to agents it must fit 14 seconds; a longer one saves
	// reads, of which 3 seconds cost 137 a second at 410 entries.
	PollInterval = 3 * time.Second
	// pollJitter spreads the reads of entries that started together; each
	// interval is PollInterval plus or minus up to this.
	pollJitter = PollInterval / 4
	// pollLimit bounds one poll, so that a call that never returns doesn't
	// stop the polling.
	pollLimit = 5 * time.Second
)

// Poller offers newer Sets from a Store to a Holder.
type Poller struct {
	store  *Store
	holder *targets.Holder
	log    *zap.Logger
}

// NewPoller returns a Poller; Run starts it. A nil log logs nothing.
func NewPoller(store *Store, holder *targets.Holder, log *zap.Logger) *Poller {
	if log == nil {
		log = zap.NewNop()
	}
	return &Poller{store: store, holder: holder, log: log}
}

// Run polls at once and then at jittered intervals until ctx ends. While the
// table service is down it keeps the interval: the load of polling is the
// same as when the service is up, and recovery is noticed within it.
func (p *Poller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.Poll(ctx); err != nil && ctx.Err() == nil {
			p.log.Warn(logging.EventTargetsPollFailed, zap.Error(err))
		}
		pause.For(ctx, PollInterval-pollJitter+rand.N(2*pollJitter))
	}
}

// Poll reads the head once and, when it is newer than the Holder's Set, offers
// the stored Set. It returns ErrUnavailable or ErrCorrupt.
func (p *Poller) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	version, err := p.store.Version(ctx)
	if err != nil {
		return err
	}
	if version <= p.holder.Current().Version {
		return nil
	}
	set, err := p.store.Load(ctx)
	if err != nil {
		return err
	}
	if p.holder.Offer(set) {
		p.log.Info(logging.EventTargetsAdopted, zap.Uint64("version", set.Version), zap.String("source", "table"))
	}
	return nil
}
