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

// slowWriter is an entry that takes its time with one write.
type slowWriter struct {
	*httptest.ResponseRecorder
	// writes is how many are left until the slow one, which takes takes.
	writes int
	takes  time.Duration
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if w.writes--; w.writes == 0 {
		time.Sleep(w.takes)
	}
	return w.ResponseRecorder.Write(p)
}

// relaySteps relays steps, which come one after another with the given pauses
// before them, to an entry whose first write takes so long.
func relaySteps(t *testing.T, takes time.Duration, pauses ...time.Duration) (policy.Outcome, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	steps := make(chan step)
	go func() {
		for _, pause := range pauses {
			time.Sleep(pause)
			if !hand(ctx, steps, step{frame: wire.Frame{Kind: wire.FrameData}}) {
				return
			}
		}
		if len(pauses) > 1 {
			hand(ctx, steps, step{err: io.EOF})
		}
	}()
	w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), writes: 1, takes: takes}
	r := &run{agent: &Agent{}, grant: &grant{}, out: wire.NewFrameWriter(w), cancel: cancel}
	began := time.Now()
	outcome := r.relay(ctx, steps)
	took := time.Since(began)
	cancel()
	synctest.Wait()
	return outcome, took
}

// A run whose entry took long to read a step was once cut for silence, though
// its next steps had come meanwhile.
func TestStepThatHasComeIsNoSilence(t *testing.T) {
	// Where several things are ready either may be taken first.
	const repeats = 20
	for range repeats {
		synctest.Test(t, func(t *testing.T) {
			if outcome, _ := relaySteps(t, engineSilence.next+time.Second, 0, time.Second, 0); outcome != policy.OutcomeWhole {
				t.Fatalf("outcome %v, want %v", outcome, policy.OutcomeWhole)
			}
		})
	}
}

// The bounds hold for a backend server that is slow, too.
func TestStepWithinTheBoundIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		almost := engineSilence.next - time.Millisecond
		if outcome, _ := relaySteps(t, 0, engineSilence.first-time.Millisecond, almost, almost); outcome != policy.OutcomeWhole {
			t.Fatalf("outcome %v, want %v", outcome, policy.OutcomeWhole)
		}
	})
}

func TestSilentRunIsCut(t *testing.T) {
	for name, c := range map[string]struct {
		pauses []time.Duration
		bound  time.Duration
	}{
		"before the first step": {nil, engineSilence.first},
		"after a step":          {[]time.Duration{time.Second / 3}, time.Second/3 + engineSilence.next},
	} {
		synctest.Test(t, func(t *testing.T) {
			outcome, took := relaySteps(t, 0, c.pauses...)
			if outcome != policy.OutcomeFailed || took < c.bound || took > c.bound+2*wire.HeartbeatEvery {
				t.Fatalf("%s: %v after %v, want %v at %v", name, outcome, took, policy.OutcomeFailed, c.bound)
			}
		})
	}
}
