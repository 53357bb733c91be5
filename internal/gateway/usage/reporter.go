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
	// leaseName is the name of the lease under which reports are sent.
	leaseName = "usage"
	// pollInterval is how often the holder checks for reports that are due.
	pollInterval = 50 * time.Millisecond
	// settleDelay is the minimum time between a window's end and the finalizing of its report; its
	// counts can't be complete before.
	settleDelay = 300 * time.Millisecond
	// maxWaitFraction is the part of Delay for which the holder waits for gateways whose counts are
	// incomplete. Most gateways that are suspended resume within that time; the rest of Delay is
	// left for a change of holder.
	maxWaitFraction = 0.4
	// maxCandidates is the number of gateways that campaign for the lease at the same time.
	maxCandidates = 2
	// maxOwnReports limits the reports that a process keeps after it has finalized them.
	maxOwnReports = 2 * maxPendingReports
)

// Reporter counts this gateway's requests, campaigns for the reporting lease, and sends the reports
// of all gateways while it holds the lease. All methods are safe for concurrent use.
//
// Lock order: mu before the locks of Counter and Aggregator.
type Reporter struct {
	Config
	Counter    *Counter
	Aggregator *Aggregator
	started    time.Time
	lease      *lease.Lease

	// mu guards the fields below.
	mu sync.Mutex
	// holdsLease is set while this gateway holds the lease and has loaded the ledger.
	holdsLease bool
	ledger     Ledger
	// ownReports are the last reports that this process finalized.
	ownReports []Report
	// acceptedWindows are the last windows whose reports the platform accepted.
	acceptedWindows []uint64
	// checkpointRows is the number of rows of the last checkpoint.
	checkpointRows int
}

// NewReporter returns a Reporter, which is started with Run.
func NewReporter(c Config) *Reporter {
	r := &Reporter{Config: c, Counter: NewCounter(c.Windows, c.Now), Aggregator: NewAggregator(c.Windows, c.Now), started: time.Now()}
	r.lease = lease.NewWithTiming(c.Table, leaseName, c.Name, c.leaseTiming())
	return r
}

// Run campaigns for the lease and sends reports while this gateway holds it, until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	elector := lease.NewElector(r.lease, r.Log)
	elector.ShouldCampaign, elector.RenewalWrites = r.shouldCampaign, r.checkpointWrites
	elector.Run(ctx, r.runAsHolder)
}

// shouldCampaign reports whether this gateway should campaign: it is eligible, no live peer holds
// the lease, and fewer than maxCandidates peers precede it. A process that has just started waits,
// since its VM may have held the lease before the restart.
func (r *Reporter) shouldCampaign() bool {
	return r.Eligible() && time.Since(r.started) > time.Duration(backoffFactor*float64(r.LeaseTime)) &&
		!r.Peers.HasUsageReporter() && r.Peers.PrecedingPeers() < maxCandidates
}

// HoldsLease reports whether this gateway holds the lease and sends reports.
func (r *Reporter) HoldsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holdsLease
}

// Generation returns the fencing token of the lease (Holder.Generation) while this gateway holds
// it; 0 otherwise.
func (r *Reporter) Generation() uint64 {
	if !r.HoldsLease() {
		return 0
	}
	return r.lease.FencingToken()
}

// runAsHolder finalizes and sends reports until the lease is lost or ctx ends.
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

// loadState loads the state that the previous holder stored.
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
	if err := r.Aggregator.restoreCheckpoint(counts); err != nil {
		r.Log.Error(logging.EventUsageCountsUnreadable, zap.Error(err))
	}
	var era uint64
	if eras, ok := r.Table.(storage.EraReporter); ok {
		era = eras.Era()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.ledger = RecoverLedger(stored, found, LocalState{
		Era: era, OwnReports: r.ownReports, StartWindow: r.Windows.Number(now.Add(-time.Since(r.started))), LastClosedWindow: r.Windows.Number(now) - 1,
	})
	for _, window := range accepted {
		r.ledger = r.ledger.Accept(window)
	}
	r.acceptedWindows = accepted
	r.holdsLease = true
	r.checkpointRows = len(counts)
	r.Log.Info(logging.EventUsageDutyAcquired, zap.Uint64("generation", r.lease.FencingToken()),
		zap.Uint64("stored", stored.Finalized), zap.Uint64("finalized", r.ledger.Finalized), zap.Int("pending", len(r.ledger.Pending)))
	return nil
}

// readLedger reads the stored Ledger; false if none is stored.
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

// readAccepted reads the windows whose reports the platform is known to have accepted.
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

// recordLeaseLost updates the local state when this gateway no longer holds the lease.
func (r *Reporter) recordLeaseLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdsLease = false
	r.Log.Info(logging.EventUsageDutyReleased, zap.Uint64("finalized", r.ledger.Finalized), zap.Int("pending", len(r.ledger.Pending)))
}

// mergeOwnCounts merges this gateway's own counts into the Aggregator.
func (r *Reporter) mergeOwnCounts() {
	source := Source{Gateway: r.Name, BootID: r.BootID}
	r.Aggregator.Merge(time.Now(), source, r.Counter.UpdateSince(r.Aggregator.MergedSequence(source)))
}

// checkpointWrites returns the writes from which the next holder restores the counts; nil if this
// gateway doesn't hold the lease.
func (r *Reporter) checkpointWrites() []storage.Write {
	r.mu.Lock()
	holdsLease, finalized, previousRows, acceptedWindows := r.holdsLease, r.ledger.Finalized, r.checkpointRows, slices.Clone(r.acceptedWindows)
	r.mu.Unlock()
	if !holdsLease {
		return nil
	}
	r.mergeOwnCounts()
	rows, err := r.Aggregator.encodeCheckpoint(finalized)
	if err != nil {
		r.Log.Error(logging.EventUsageCountsUnreadable, zap.Error(err))
		return nil
	}
	r.mu.Lock()
	r.checkpointRows = len(rows)
	r.mu.Unlock()
	acceptedWrite, err := encodeAccepted(acceptedWindows)
	if err != nil {
		r.Log.Error(logging.EventUsageCountsUnreadable, zap.Error(err))
		return nil
	}
	return append(checkpointWrites(rows, previousRows), acceptedWrite)
}
