package usage

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
)

const (
	// minRetryDelay and maxRetryDelay bound the time before a report is sent again.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// retryState is the retry schedule of a report that the platform isn't known to have accepted.
type retryState struct {
	nextAttempt time.Time
	backOff     *backoff.ExponentialBackOff
}

// sendLoop sends finalized reports until the lease is lost or ctx ends. A report without a response
// doesn't delay the others.
func (r *Reporter) sendLoop(ctx context.Context, heldLease *lease.Lease) error {
	retries := map[uint64]*retryState{}
	for ctx.Err() == nil {
		report, ok := r.nextReportToSend(time.Now(), retries)
		if !ok {
			pause.Sleep(ctx, pollInterval)
			continue
		}
		if err := heldLease.Check(); err != nil {
			return err
		}
		err := r.Platform.Report(ctx, Holder{Name: r.Name, Generation: heldLease.FencingToken()}, report)
		switch {
		case err == nil:
			delete(retries, report.Window)
			r.recordAccepted(report)
		case errors.Is(err, ErrFenced):
			heldLease.StepDown()
			r.Observer.ReportFailed(err)
			return err
		case errors.Is(err, ErrBusy):
			// The platform limits the calls of all lease holders together, so no other report is
			// sent during the pause either.
			r.Observer.ReportFailed(err)
			pause.Sleep(ctx, minRetryDelay)
		case ctx.Err() == nil:
			r.Observer.ReportFailed(err)
			r.Log.Warn(logging.EventUsageReportFailed, zap.Uint64("window", report.Window), zap.Error(err))
			retries[report.Window].nextAttempt = time.Now().Add(retries[report.Window].backOff.NextBackOff())
		}
	}
	return nil
}

// nextReportToSend returns the oldest pending report whose next attempt is due; false if there is
// none.
func (r *Reporter) nextReportToSend(now time.Time, retries map[uint64]*retryState) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range r.ledger.Pending {
		retry := retries[report.Window]
		if retry == nil {
			retry = &retryState{nextAttempt: now, backOff: backoff.NewExponentialBackOff()}
			retry.backOff.InitialInterval, retry.backOff.MaxInterval = minRetryDelay, maxRetryDelay
			retries[report.Window] = retry
		}
		if !now.Before(retry.nextAttempt) {
			return report, true
		}
	}
	return Report{}, false
}

// recordAccepted updates the local state after the platform accepted a report.
func (r *Reporter) recordAccepted(report Report) {
	delay := r.Now().Sub(r.Windows.End(report.Window))
	r.mu.Lock()
	r.ledger = r.ledger.Accept(report.Window)
	r.acceptedWindows = append(r.acceptedWindows, report.Window)
	r.acceptedWindows = r.acceptedWindows[max(0, len(r.acceptedWindows)-maxPendingReports):]
	r.mu.Unlock()
	r.Observer.ReportAccepted(delay, delay > r.Delay)
	r.Log.Info(logging.EventUsageReported, zap.Uint64("window", report.Window), zap.Int64("requests", report.totalRequests()),
		zap.Int("customers", len(report.Counts)), zap.Uint64("generation", r.lease.FencingToken()), zap.Duration("after", delay))
}
