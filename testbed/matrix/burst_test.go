package matrix

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a burst whose rate falls below the engines' capacity: when the test process was
// not scheduled for a moment, it sent too few calls, and no ticket ever waited.
func TestOnScheduleCatchesUpAfterDelay(t *testing.T) {
	const count, interval = 40, 25 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var sent []time.Duration
		onSchedule(t.Context(), count, interval, func(n int) {
			sent = append(sent, time.Since(start))
			if n%4 == 0 {
				time.Sleep(3 * interval)
			}
		})
		if len(sent) != count {
			t.Fatalf("got %d calls, want %d", len(sent), count)
		}
		for n, at := range sent {
			if due := time.Duration(n) * interval; at < due || at > due+3*interval {
				t.Errorf("call %d sent after %v, due after %v", n, at, due)
			}
		}
	})
}
