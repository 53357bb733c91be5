package usage

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/storage"
)

const (
	// leaseName is the lease under which reports are made.
	leaseName = "usage"
	// pollInterval is how often a holder looks what is due.
	pollInterval = 50 * time.Millisecond
	// settle is how long after a window's end its counts are complete at the soonest.
	settle = 300 * time.Millisecond
	// waitFraction is the part of the delay for which gateways are waited for whose counts
	// aren't complete: most that are suspended wake within it, and the rest is for a change
	// of holder.
	waitFraction = 0.4
	// candidates is how many gateways campaign for the lease at a time.
	candidates = 2
	// maxOwn bounds the finalized reports that a process remembers.
	maxOwn = 2 * maxPending
)

// Reporter is a gateway's part in the duty. All methods may be called concurrently.
//
// Lock order: mu before those of Counter and Aggregate.
type Reporter struct {
	Config
	Counter   *Counter
	Aggregate *Aggregate
	started   time.Time
	lease     *lease.Lease

	// mu guards what follows; nothing else is locked while it is held.
	mu sync.Mutex
	// holds says that this gateway holds the duty, by ledger.
	holds  bool
	ledger Ledger
	// own are the last reports that this process finalized.
	own []Report
	// accepted are the last windows whose reports the platform accepted.
	accepted []uint64
	// rows is how many rows the last checkpoint took.
	rows int
}

// NewReporter returns a Reporter; Run starts it.
func NewReporter(c Config) *Reporter {
	r := &Reporter{Config: c, Counter: NewCounter(c.Windows, c.Now), Aggregate: NewAggregate(c.Windows, c.Now), started: time.Now()}
	r.lease = lease.NewTimed(c.Table, leaseName, c.Name, c.timing())
	return r
}

// Run campaigns for the duty and does it while this gateway holds it, until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	keeper := lease.NewKeeper(r.lease, r.Log)
	keeper.Standby, keeper.With = r.standby, r.checkpoint
	keeper.Run(ctx, r.act)
}

// standby reports whether this gateway is to campaign: no live peer holds the duty, and it
// is one of the first that could. A process that has just started may be on a machine that
// held the duty under its earlier start.
func (r *Reporter) standby() bool {
	return r.Able() && time.Since(r.started) > time.Duration(backoffFactor*float64(r.LeaseTime)) &&
		!r.Others.Reporting() && r.Others.Before() < candidates
}

// Holds reports whether this gateway holds the duty.
func (r *Reporter) Holds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds
}

// Generation is that of the duty while this gateway holds it; 0 otherwise.
func (r *Reporter) Generation() uint64 {
	if !r.Holds() {
		return 0
	}
	return r.lease.Fence()
}

// act does the duty while the lease is held.
func (r *Reporter) act(ctx context.Context, held *lease.Lease) error {
	if err := r.recover(ctx); err != nil {
		return err
	}
	defer r.leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background conc.WaitGroup
	var finalizing error
	background.Go(func() {
		defer cancel()
		finalizing = r.finalizeDue(ctx, held)
	})
	err := r.sendDue(ctx, held)
	cancel()
	background.Wait()
	return errors.Join(err, finalizing)
}

// recover reads what the holder before has left.
func (r *Reporter) recover(ctx context.Context) error {
	stored, found, err := r.readLedger(ctx)
	if err != nil {
		return err
	}
	counts, err := r.Table.List(ctx, countsPrefix)
	if err != nil {
		return err
	}
	accepted, err := r.readAccepted(ctx)
	if err != nil {
		return err
	}
	if err := r.Aggregate.restore(counts); err != nil {
		r.Log.Error(logging.EventUsageUnreadable, zap.Error(err))
	}
	var era uint64
	if t, ok := r.Table.(storage.Eras); ok {
		era = t.Era()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.ledger = Recover(stored, found, Memory{
		Era: era, Own: r.own, Started: r.Windows.Number(now.Add(-time.Since(r.started))), Over: r.Windows.Number(now) - 1,
	})
	for _, window := range accepted {
		r.ledger = r.ledger.Accept(window)
	}
	r.accepted = accepted
	r.holds = true
	r.rows = len(counts)
	r.Log.Info(logging.EventUsageHeld, zap.Uint64("generation", r.lease.Fence()),
		zap.Uint64("stored", stored.Finalized), zap.Uint64("finalized", r.ledger.Finalized), zap.Int("pending", len(r.ledger.Pending)))
	return nil
}

// readLedger reads the stored Ledger; false where there is none.
func (r *Reporter) readLedger(ctx context.Context) (Ledger, bool, error) {
	row, err := r.Table.Get(ctx, ledgerKey)
	switch {
	case errors.Is(err, storage.ErrNotFound):
		return Ledger{}, false, nil
	case err != nil:
		return Ledger{}, false, err
	}
	var l Ledger
	if err := cbor.Unmarshal(row.Value, &l); err != nil {
		return Ledger{}, false, errors.Wrap(ErrCorrupt, err.Error())
	}
	return l, true, nil
}

// readAccepted reads which reports the platform is known to have.
func (r *Reporter) readAccepted(ctx context.Context) ([]uint64, error) {
	row, err := r.Table.Get(ctx, acceptedKey)
	switch {
	case errors.Is(err, storage.ErrNotFound):
		return nil, nil
	case err != nil:
		return nil, err
	}
	return readAccepted(row)
}

// leave notes that the duty isn't held any more.
func (r *Reporter) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds = false
	r.Log.Info(logging.EventUsageLeft, zap.Uint64("finalized", r.ledger.Finalized), zap.Int("pending", len(r.ledger.Pending)))
}

// mergeOwn merges this gateway's own counts.
func (r *Reporter) mergeOwn() {
	from := Source{Gateway: r.Name, Start: r.Start}
	r.Aggregate.Merge(time.Now(), from, r.Counter.Update(r.Aggregate.Sequence(from)))
}

// checkpoint are the writes from which the next holder restores the counts.
func (r *Reporter) checkpoint() []storage.Write {
	r.mu.Lock()
	holds, finalized, before, acceptedWindows := r.holds, r.ledger.Finalized, r.rows, slices.Clone(r.accepted)
	r.mu.Unlock()
	if !holds {
		return nil
	}
	r.mergeOwn()
	rows, err := r.Aggregate.checkpoint(finalized)
	if err != nil {
		r.Log.Error(logging.EventUsageUnreadable, zap.Error(err))
		return nil
	}
	r.mu.Lock()
	r.rows = len(rows)
	r.mu.Unlock()
	accepted, err := acceptedWrite(acceptedWindows)
	if err != nil {
		r.Log.Error(logging.EventUsageUnreadable, zap.Error(err))
		return nil
	}
	return append(countWrites(rows, before), accepted)
}
