package matrix

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a burst that is none: a test process that doesn't run for a moment sent less
// than the engines bear, and no ticket ever waited.
func TestBurstKeepsToItsSchedule(t *testing.T) {
	const count, gap = 40, 25 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		var sent []time.Duration
		onSchedule(t.Context(), count, gap, func(n int) {
			sent = append(sent, time.Since(begin))
			if n%4 == 0 {
				time.Sleep(3 * gap)
			}
		})
		if len(sent) != count {
			t.Fatalf("%d calls, want %d", len(sent), count)
		}
		for n, at := range sent {
			if due := time.Duration(n) * gap; at < due || at > due+3*gap {
				t.Errorf("call %d after %v, due after %v", n, at, due)
			}
		}
	})
}
