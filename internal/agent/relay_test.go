package agent

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// slowWriter is a response writer that delays one write.
type slowWriter struct {
	*httptest.ResponseRecorder
	// writesUntilSlow counts the writes up to and including the delayed one.
	writesUntilSlow int
	delay           time.Duration
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if w.writesUntilSlow--; w.writesUntilSlow == 0 {
		time.Sleep(w.delay)
	}
	return w.ResponseRecorder.Write(p)
}

// relayWithPauses relays one frame after each pause to an entry whose first
// write takes writeDelay. It returns the outcome and the duration of the run.
// With more than one pause the response is complete; otherwise the backend
// server stays idle after the last frame.
func relayWithPauses(t *testing.T, writeDelay time.Duration, pauses ...time.Duration) (policy.Outcome, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan frameResult)
	go func() {
		for _, pause := range pauses {
			time.Sleep(pause)
			if !sendResult(ctx, results, frameResult{frame: wire.Frame{Kind: wire.FrameData}}) {
				return
			}
		}
		if len(pauses) > 1 {
			sendResult(ctx, results, frameResult{err: io.EOF})
		}
	}()
	w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), writesUntilSlow: 1, delay: writeDelay}
	r := &run{agent: &Agent{}, grant: &grant{}, out: wire.NewFrameWriter(w), cancel: cancel}
	start := time.Now()
	outcome := r.relay(ctx, results)
	elapsed := time.Since(start)
	cancel()
	synctest.Wait()
	return outcome, elapsed
}

// When the entry is slow to read a frame, the time of that write must not count
// as idle time of the backend server. Such a run was once aborted although the
// next frames were ready.
func TestSlowEntryIsNotBackendIdleTime(t *testing.T) {
	// select picks at random among ready channels, so the test is repeated.
	const repeats = 20
	for range repeats {
		synctest.Test(t, func(t *testing.T) {
			if outcome, _ := relayWithPauses(t, engineIdleTimeouts.next+time.Second, 0, time.Second, 0); outcome != policy.OutcomeComplete {
				t.Fatalf("outcome %v, want %v", outcome, policy.OutcomeComplete)
			}
		})
	}
}

// A slow backend server that stays just within the timeouts is not aborted.
func TestFramesWithinIdleTimeoutAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		justWithin := engineIdleTimeouts.next - time.Millisecond
		if outcome, _ := relayWithPauses(t, 0, engineIdleTimeouts.first-time.Millisecond, justWithin, justWithin); outcome != policy.OutcomeComplete {
			t.Fatalf("outcome %v, want %v", outcome, policy.OutcomeComplete)
		}
	})
}

func TestIdleRunFailsAfterTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		pauses  []time.Duration
		timeout time.Duration
	}{
		"before the first frame": {nil, engineIdleTimeouts.first},
		"after a frame":          {[]time.Duration{time.Second / 3}, time.Second/3 + engineIdleTimeouts.next},
	} {
		synctest.Test(t, func(t *testing.T) {
			outcome, elapsed := relayWithPauses(t, 0, c.pauses...)
			if outcome != policy.OutcomeFailed || elapsed < c.timeout || elapsed > c.timeout+2*wire.HeartbeatInterval {
				t.Fatalf("%s: %v after %v, want %v at %v", name, outcome, elapsed, policy.OutcomeFailed, c.timeout)
			}
		})
	}
}
