package stall

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// slowReader returns one byte after each of its delays. It fails when ctx is done.
type slowReader struct {
	ctx    context.Context
	delays []time.Duration
}

func (r *slowReader) Read(b []byte) (int, error) {
	if len(r.delays) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(r.delays[0]):
		r.delays = r.delays[1:]
		return copy(b, "x"), nil
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
}

func TestWatchdog(t *testing.T) {
	const firstByteTimeout, idleTimeout, callTimeout = 2 * time.Second, time.Second, 10 * time.Second
	cases := map[string]struct {
		firstByteDelay time.Duration
		delays         []time.Duration
		// duration is the expected duration of the call; complete reports whether
		// the whole body is expected to be read.
		duration time.Duration
		complete bool
	}{
		"slow but steady":      {time.Second, []time.Duration{900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond}, 3700 * time.Millisecond, true},
		"no first byte":        {3 * time.Second, nil, firstByteTimeout, false},
		"stalls":               {0, []time.Duration{900 * time.Millisecond, 3 * time.Second}, 1900 * time.Millisecond, false},
		"exceeds call timeout": {0, repeatDelay(900 * time.Millisecond), callTimeout, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, watchdog := WithWatchdog(t.Context(), firstByteTimeout, callTimeout)
				defer watchdog.Stop()
				var err error
				select {
				case <-time.After(c.firstByteDelay):
					_, err = io.ReadAll(watchdog.Reader(&slowReader{ctx, c.delays}, idleTimeout))
				case <-ctx.Done():
					err = ctx.Err()
				}
				if elapsed := time.Since(start); elapsed != c.duration || (err == nil) != c.complete {
					t.Errorf("ended after %v: %v", elapsed, err)
				}
				if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("ended with %v", err)
				}
			})
		})
	}
}

func repeatDelay(delay time.Duration) []time.Duration {
	delays := make([]time.Duration, 100)
	for i := range delays {
		delays[i] = delay
	}
	return delays
}
