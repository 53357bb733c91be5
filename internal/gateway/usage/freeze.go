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

// freezeDue fixes the reports of windows as they are complete, until the lease is lost.
func (r *Reporter) freezeDue(ctx context.Context, held *lease.Lease) error {
	for ctx.Err() == nil {
		window, due := r.due()
		if !due {
			pause.For(ctx, lookEvery)
			continue
		}
		if err := r.freeze(ctx, held, window); err != nil {
			return err
		}
	}
	return nil
}

// due is the next window whose counts are complete, or have been waited for long enough.
func (r *Reporter) due() (uint64, bool) {
	now := r.Now()
	r.mu.Lock()
	window, due := r.ledger.Next(r.Windows.Number(now.Add(-settle)) - 1)
	r.mu.Unlock()
	if !due {
		return 0, false
	}
	r.takeOwn()
	end := r.Windows.End(window)
	if now.Sub(end) < time.Duration(waitPart*float64(r.Delay)) && len(r.missing(window)) > 0 {
		return 0, false
	}
	return window, true
}

// missing names the gateways that haven't told all of a window's counts.
func (r *Reporter) missing(window uint64) []string {
	end := r.Windows.End(window)
	return r.Gathered.Missing(end.Add(-r.Windows.Length), end)
}

// freeze fixes a window's report: it is in the store before it is sent, in one transaction
// under the lease. What was tried once is tried again unchanged, since a write without an
// answer may still be carried out.
func (r *Reporter) freeze(ctx context.Context, held *lease.Lease, window uint64) error {
	end := r.Windows.End(window)
	missing := r.missing(window)
	report := Report{Window: window, Counts: r.Gathered.Sum(window)}
	for ctx.Err() == nil {
		r.mu.Lock()
		next := r.ledger.Freeze(report)
		r.mu.Unlock()
		value, err := cbor.Marshal(next)
		if err != nil {
			return errors.Wrap(err, "encode the ledger")
		}
		err = held.Commit(ctx, []storage.Write{{Key: ledgerKey, Value: value, Expect: storage.AnyVersion}})
		switch {
		case err == nil:
			r.frozenAs(report)
			r.Log.Info(logging.EventUsageFrozen, zap.Uint64("window", window), zap.Int64("requests", report.total()),
				zap.Int("customers", len(report.Counts)), zap.Duration("after", r.Now().Sub(end)), zap.Strings("missing", missing))
			return nil
		case errors.Is(err, lease.ErrLost):
			return err
		}
		r.Log.Warn(logging.EventUsageFailed, zap.Uint64("window", window), zap.Error(err))
		pause.For(ctx, lookEvery)
	}
	return ctx.Err()
}

// frozenAs notes that a report is fixed.
func (r *Reporter) frozenAs(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger = r.ledger.Freeze(report)
	r.own = append(r.own, report)
	r.own = r.own[max(0, len(r.own)-mostOwn):]
	r.Gathered.Forget(time.Now(), r.ledger.Frozen)
}

// total adds up the requests of all customers.
func (r *Report) total() int64 {
	var n int64
	for _, requests := range r.Counts {
		n += requests
	}
	return n
}
