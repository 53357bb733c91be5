package stall

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// paused gives a byte after each pause, or ends with its context.
type paused struct {
	ctx    context.Context
	pauses []time.Duration
}

func (p *paused) Read(b []byte) (int, error) {
	if len(p.pauses) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(p.pauses[0]):
		p.pauses = p.pauses[1:]
		return copy(b, "x"), nil
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	}
}

func TestGuard(t *testing.T) {
	const first, pause, most = 2 * time.Second, time.Second, 10 * time.Second
	cases := map[string]struct {
		begins time.Duration
		pauses []time.Duration
		// ends is when the call ends, and whole whether with the whole answer.
		ends  time.Duration
		whole bool
	}{
		"comes slowly":   {time.Second, []time.Duration{900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond}, 3700 * time.Millisecond, true},
		"doesn't begin":  {3 * time.Second, nil, first, false},
		"stands still":   {0, []time.Duration{900 * time.Millisecond, 3 * time.Second}, 1900 * time.Millisecond, false},
		"goes on always": {0, hundred(900 * time.Millisecond), most, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, g := New(t.Context(), first, most)
				defer g.Stop()
				var err error
				select {
				case <-time.After(c.begins):
					_, err = io.ReadAll(g.Reader(&paused{ctx, c.pauses}, pause))
				case <-ctx.Done():
					err = ctx.Err()
				}
				if took := time.Since(began); took != c.ends || (err == nil) != c.whole {
					t.Errorf("ended after %v: %v", took, err)
				}
				if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("ended with %v", err)
				}
			})
		})
	}
}

func hundred(pause time.Duration) []time.Duration {
	all := make([]time.Duration, 100)
	for i := range all {
		all[i] = pause
	}
	return all
}
