package policy

import (
	"fmt"
	"testing"
	"time"
)

// simulateSlowPeriod runs summaries of all lengths at half of the engines' prefill rate. The
// engines are five times as slow for four seconds. Only requests that arrive more than a
// second after that are counted.
func simulateSlowPeriod(seed uint64) *directSimulation {
	const slowFrom, slowTo, countFrom, end = 3 * time.Second, 7 * time.Second, 8 * time.Second, 12 * time.Second
	sim := newSeededSimulation(seed, 24, 12, true)
	sim.estimateUnreported, sim.shareFirstTokens, sim.chunkTokens = true, true, 1024
	sim.measureFrom = countFrom
	slowdown := func(factor float64) func() {
		return func() {
			for _, e := range sim.engines {
				e.slowdown = factor
			}
		}
	}
	sim.after(slowFrom, slowdown(5))
	sim.after(slowTo, slowdown(1))
	sim.addSummaries(0.5, end)
	sim.run(end + 3*time.Second)
	return sim
}

// Guards against prompts being refused although the engines are idle again after a slow
// period, as in a burst: the prefill rate learned while they were slow isn't corrected by
// refused requests.
func TestIdleEnginesAreUsedAfterABurst(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := simulateSlowPeriod(seed)
			inTime, arrived := sim.inTime["summary"], sim.arrived["summary"]
			t.Logf("in time %d of %d", inTime, arrived)
			if 10*inTime < 9*arrived {
				t.Errorf("%d of %d in time, on engines that could prefill twice as much", inTime, arrived)
			}
		})
	}
}
