// Package stall ends calls that make no progress, however long they may take as
// long as they do: a large answer takes seconds on a narrow link. Start reading
// at Guard.
package stall

import (
	"context"
	"io"
	"time"
)

// Guard ends a call's context when nothing comes in time.
type Guard struct {
	timer *time.Timer
	stop  context.CancelFunc
}

// New returns a call's context and its Guard: the answer has to begin within
// first, and the call ends after most in any case. Stop has to be called.
func New(ctx context.Context, first, most time.Duration) (context.Context, *Guard) {
	call, stop := context.WithTimeout(ctx, most)
	return call, &Guard{timer: time.AfterFunc(first, stop), stop: stop}
}

// Reader returns a reader of the answer, of which more has to come within pause
// each time, once it has begun.
func (g *Guard) Reader(r io.Reader, pause time.Duration) io.Reader {
	return reader{r, g.timer, pause}
}

// Stop ends the call.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.stop()
}

type reader struct {
	io.Reader
	timer *time.Timer
	pause time.Duration
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.pause)
	}
	return n, err
}
