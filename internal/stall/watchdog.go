// Package stall cancels calls that make no progress. A call that makes progress may
// run up to a much longer limit, because a large response takes seconds on a slow
// link. Start reading at Watchdog.
package stall

import (
	"context"
	"io"
	"time"
)

// Watchdog cancels the context of a call when no data arrives in time.
type Watchdog struct {
	timer  *time.Timer
	cancel context.CancelFunc
}

// WithWatchdog returns a context for a call and its Watchdog. The context is cancelled
// if no data arrives within firstByteTimeout, and after callTimeout in any case. The
// caller must call Stop.
func WithWatchdog(ctx context.Context, firstByteTimeout, callTimeout time.Duration) (context.Context, *Watchdog) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	return callCtx, &Watchdog{timer: time.AfterFunc(firstByteTimeout, cancel), cancel: cancel}
}

// Reader returns a reader of the response body r. Each read of data restarts the
// watchdog with idleTimeout, within which more data must arrive.
func (w *Watchdog) Reader(r io.Reader, idleTimeout time.Duration) io.Reader {
	return watchedReader{r, w.timer, idleTimeout}
}

// Stop cancels the context of the call and stops the timer.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel()
}

// watchedReader restarts the timer on each read that returns data.
type watchedReader struct {
	io.Reader
	timer       *time.Timer
	idleTimeout time.Duration
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.idleTimeout)
	}
	return n, err
}
