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
	// minRetryPause and maxRetryPause bound the pause before a report is sent again.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

// sending is a report that the platform isn't known to have.
type sending struct {
	next time.Time
	back *backoff.ExponentialBackOff
}

// sendDue sends finalized reports until the lease is lost. One that gets no answer
// doesn't hold up the others.
func (r *Reporter) sendDue(ctx context.Context, held *lease.Lease) error {
	waiting := map[uint64]*sending{}
	for ctx.Err() == nil {
		report, ok := r.nextToSend(time.Now(), waiting)
		if !ok {
			pause.For(ctx, pollInterval)
			continue
		}
		if err := held.Check(); err != nil {
			return err
		}
		err := r.Platform.Report(ctx, Holder{Name: r.Name, Generation: held.Fence()}, report)
		switch {
		case err == nil:
			delete(waiting, report.Window)
			r.accept(report)
		case errors.Is(err, ErrDeposed):
			held.Deposed()
			r.Observer.Refused(err)
			return err
		case errors.Is(err, ErrBusy):
			// It counts the calls of all duties together.
			r.Observer.Refused(err)
			pause.For(ctx, minRetryPause)
		case ctx.Err() == nil:
			r.Observer.Refused(err)
			r.Log.Warn(logging.EventUsageFailed, zap.Uint64("window", report.Window), zap.Error(err))
			waiting[report.Window].next = time.Now().Add(waiting[report.Window].back.NextBackOff())
		}
	}
	return nil
}

// nextToSend is the oldest report whose time has come.
func (r *Reporter) nextToSend(now time.Time, waiting map[uint64]*sending) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range r.ledger.Pending {
		s := waiting[report.Window]
		if s == nil {
			s = &sending{next: now, back: backoff.NewExponentialBackOff()}
			s.back.InitialInterval, s.back.MaxInterval = minRetryPause, maxRetryPause
			waiting[report.Window] = s
		}
		if !now.Before(s.next) {
			return report, true
		}
	}
	return Report{}, false
}

// accept notes that the platform has a report.
func (r *Reporter) accept(report Report) {
	after := r.Now().Sub(r.Windows.End(report.Window))
	r.mu.Lock()
	r.ledger = r.ledger.Accept(report.Window)
	r.accepted = append(r.accepted, report.Window)
	r.accepted = r.accepted[max(0, len(r.accepted)-maxPending):]
	r.mu.Unlock()
	r.Observer.Reported(after, after > r.Delay)
	r.Log.Info(logging.EventUsageReported, zap.Uint64("window", report.Window), zap.Int64("requests", report.total()),
		zap.Int("customers", len(report.Counts)), zap.Uint64("generation", r.lease.Fence()), zap.Duration("after", after))
}
