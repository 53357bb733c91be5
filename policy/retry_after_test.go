package policy

import (
	"testing"
	"time"
)

// Simulates bursts of eight seconds on one engine and on four. Retries at the stated time must
// usually succeed, and few callers may be told to retry during the burst, when the retry would
// fail.
func TestRetryAfterIsAccurate(t *testing.T) {
	t.Parallel()
	for _, engines := range []int{1, 4} {
		for _, factor := range []float64{2, 4, 8} {
			sim := newSimulation(1, newFakeEngines(engines, 4)...)
			sim.burstEnd = 38 * time.Second
			capacity := float64(engines) * newFakeEngine(4).capacity(questionWorkload(nil))
			traffic := questionWorkload(burstRate(0.2*capacity, factor*capacity, 30*time.Second, sim.burstEnd))
			sim.run(time.Minute, 15*time.Minute, flagWorkload(constantRate(2)), traffic)
			got := sim.stats("question")
			mean := got.totalRetryAfter / time.Duration(max(got.retries, 1))
			t.Logf("%d engines, x%v: of %d refused %.2f succeeded on retry; during the burst %d of %d; Retry-After %v on average",
				engines, factor, got.retries, got.retrySuccess(), got.retriesInBurstOnTime, got.retriesInBurst, mean)
			if got.retrySuccess() < 0.75 {
				t.Errorf("%d engines, x%v: %.2f succeeded on retry", engines, factor, got.retrySuccess())
			}
			if got.retriesInBurst*8 > got.retries {
				t.Errorf("%d engines, x%v: %d of %d told to retry during the burst", engines, factor, got.retriesInBurst, got.retries)
			}
		}
	}
}
