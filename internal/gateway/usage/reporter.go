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
	settleDelay = 300 * time.Millisecond
	// waitFraction is the part of the delay for which gateways are waited for whose counts
	// aren't complete: most that are suspended wake within it, and the rest is for a change
	// of holder.
	maxWaitFraction = 0.4
	// candidates is how many gateways campaign for the lease at a time.
	maxCandidates = 2
	// maxOwn bounds the finalized reports that a process remembers.
	maxOwnReports = 2 * maxPendingReports
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
	holdsLease bool
	ledger     Ledger
	// own are the last reports that this process finalized.
	ownReports []Report
	// accepted are the last windows whose reports the platform accepted.
	acceptedWindows []uint64
	// rows is how many rows the last checkpoint took.
	checkpointRows int
}

// NewReporter returns a Reporter; Run starts it.
func NewReporter(c Config) *Reporter {
	r := &Reporter{Config: c, Counter: NewCounter(c.Windows, c.Now), Aggregate: NewAggregate(c.Windows, c.Now), started: time.Now()}
	r.lease = lease.NewTimed(c.Table, leaseName, c.Name, c.leaseTiming())
	return r
}

// Run campaigns for the duty and does it while this gateway holds it, until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	keeper := lease.NewKeeper(r.lease, r.Log)
	keeper.Standby, keeper.With = r.shouldCampaign, r.checkpointWrites
	keeper.Run(ctx, r.runAsHolder)
}

// standby reports whether this gateway is to campaign: no live peer holds the duty, and it
// is one of the first that could. A process that has just started may be on a machine that
// held the duty under its earlier start.
func (r *Reporter) shouldCampaign() bool {
	return r.Able() && time.Since(r.started) > time.Duration(backoffFactor*float64(r.LeaseTime)) &&
		!r.Others.Reporting() && r.Others.Before() < maxCandidates
}

// Holds reports whether this gateway holds the duty.
func (r *Reporter) Holds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holdsLease
}

// Generation is that of the duty while this gateway holds it; 0 otherwise.
func (r *Reporter) Generation() uint64 {
	if !r.Holds() {
		return 0
	}
	return r.lease.Fence()
}

// act does the duty while the lease is held.
func (r *Reporter) runAsHolder(ctx context.Context, heldLease *lease.Lease) error {
	if err := r.loadState(ctx); err != nil {
		return err
	}
	defer r.recordLeaseLost()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var finalizer conc.WaitGroup
	var finalizeErr error
	finalizer.Go(func() {
		defer cancel()
		finalizeErr = r.finalizeLoop(ctx, heldLease)
	})
	err := r.sendLoop(ctx, heldLease)
	cancel()
	finalizer.Wait()
	return errors.Join(err, finalizeErr)
}

// recover reads what the holder before has left.
func (r *Reporter) loadState(ctx context.Context) error {
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
	if err := r.Aggregate.restoreCheckpoint(counts); err != nil {
		r.Log.Error(logging.EventUsageUnreadable, zap.Error(err))
	}
	var era uint64
	if eras, ok := r.Table.(storage.Eras); ok {
		era = eras.Era()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.ledger = Recover(stored, found, Memory{
		Era: era, Own: r.ownReports, Started: r.Windows.Number(now.Add(-time.Since(r.started))), Over: r.Windows.Number(now) - 1,
	})
	for _, window := range accepted {
		r.ledger = r.ledger.Accept(window)
	}
	r.acceptedWindows = accepted
	r.holdsLease = true
	r.checkpointRows = len(counts)
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
	var ledger Ledger
	if err := cbor.Unmarshal(row.Value, &ledger); err != nil {
		return Ledger{}, false, errors.Wrap(ErrCorrupt, err.Error())
	}
	return ledger, true, nil
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
	return decodeAccepted(row)
}

// leave notes that the duty isn't held any more.
func (r *Reporter) recordLeaseLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdsLease = false
	r.Log.Info(logging.EventUsageLeft, zap.Uint64("finalized", r.ledger.Finalized), zap.Int("pending", len(r.ledger.Pending)))
}

// mergeOwn merges this gateway's own counts.
func (r *Reporter) mergeOwnCounts() {
	from := Source{Gateway: r.Name, Start: r.Start}
	r.Aggregate.Merge(time.Now(), from, r.Counter.Update(r.Aggregate.Sequence(from)))
}

// checkpoint are the writes from which the next holder restores the counts.
func (r *Reporter) checkpointWrites() []storage.Write {
	r.mu.Lock()
	holdsLease, finalized, previousRows, acceptedWindows := r.holdsLease, r.ledger.Finalized, r.checkpointRows, slices.Clone(r.acceptedWindows)
	r.mu.Unlock()
	if !holdsLease {
		return nil
	}
	r.mergeOwnCounts()
	rows, err := r.Aggregate.encodeCheckpoint(finalized)
	if err != nil {
		r.Log.Error(logging.EventUsageUnreadable, zap.Error(err))
		return nil
	}
	r.mu.Lock()
	r.checkpointRows = len(rows)
	r.mu.Unlock()
	acceptedWrite, err := encodeAccepted(acceptedWindows)
	if err != nil {
		r.Log.Error(logging.EventUsageUnreadable, zap.Error(err))
		return nil
	}
	return append(checkpointWrites(rows, previousRows), acceptedWrite)
}
