package usage

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/internal/storage"
)

// finalizeLoop finalizes the reports of windows as they become due. It returns lease.ErrLost
// if the lease is lost, ctx.Err() if ctx ends while a report is being stored, and nil if ctx ends
// otherwise.
func (r *Reporter) finalizeLoop(ctx context.Context, heldLease *lease.Lease) error {
	for ctx.Err() == nil {
		window, due := r.nextDueWindow()
		if !due {
			pause.Sleep(ctx, pollInterval)
			continue
		}
		if err := r.finalize(ctx, heldLease, window); err != nil {
			return err
		}
	}
	return nil
}

// nextDueWindow returns the next window to finalize if all gateways' counts of it are complete or
// the maximum wait for them is over; false if no window is due.
func (r *Reporter) nextDueWindow() (uint64, bool) {
	now := r.Now()
	r.mu.Lock()
	window, due := r.ledger.NextWindow(r.Windows.Number(now.Add(-settleDelay)) - 1)
	r.mu.Unlock()
	if !due {
		return 0, false
	}
	r.mergeOwnCounts()
	end := r.Windows.End(window)
	if now.Sub(end) < time.Duration(maxWaitFraction*float64(r.Delay)) && len(r.incompleteGateways(window)) > 0 {
		return 0, false
	}
	return window, true
}

// incompleteGateways returns the names of the gateways whose counts of a window aren't complete.
func (r *Reporter) incompleteGateways(window uint64) []string {
	end := r.Windows.End(window)
	return r.Aggregator.IncompleteGateways(end.Add(-r.Windows.Length), end)
}

// finalize stores a window's report in a transaction under the lease, before the report is sent for
// the first time. A failed write is retried with the same report, since a write without a response
// may still take effect.
func (r *Reporter) finalize(ctx context.Context, heldLease *lease.Lease, window uint64) error {
	end := r.Windows.End(window)
	incomplete := r.incompleteGateways(window)
	report := Report{Window: window, Counts: r.Aggregator.Sum(window)}
	for ctx.Err() == nil {
		r.mu.Lock()
		nextLedger := r.ledger.Finalize(report)
		r.mu.Unlock()
		encoded, err := cbor.Marshal(nextLedger)
		if err != nil {
			return errors.Wrap(err, "encode ledger")
		}
		err = heldLease.Commit(ctx, []storage.Write{{Key: ledgerKey, Value: encoded, Expect: storage.AnyVersion}})
		switch {
		case err == nil:
			r.recordFinalized(report)
			r.Log.Info(logging.EventUsageReportFinalized, zap.Uint64("window", window), zap.Int64("requests", report.totalRequests()),
				zap.Int("customers", len(report.Counts)), zap.Duration("after", r.Now().Sub(end)), zap.Strings("missing", incomplete))
			return nil
		case errors.Is(err, lease.ErrLost):
			return err
		}
		r.Log.Warn(logging.EventUsageReportFailed, zap.Uint64("window", window), zap.Error(err))
		pause.Sleep(ctx, pollInterval)
	}
	return ctx.Err()
}

// recordFinalized updates the local state after a report was stored.
func (r *Reporter) recordFinalized(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger = r.ledger.Finalize(report)
	r.ownReports = append(r.ownReports, report)
	r.ownReports = r.ownReports[max(0, len(r.ownReports)-maxOwnReports):]
	r.Aggregator.Expire(time.Now(), r.ledger.Finalized)
}

// totalRequests returns the number of requests of all customers.
func (r *Report) totalRequests() int64 {
	var total int64
	for _, requests := range r.Counts {
		total += requests
	}
	return total
}
