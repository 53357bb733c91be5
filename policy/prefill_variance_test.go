package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestUnevenPrefillKeepsLimit simulates engines on which prefill times differ tenfold
// from one prompt to the next, as with a prefix cache. Guards against the limiter
// taking that for a queue inside the engine and cutting the limit.
func TestUnevenPrefillKeepsLimit(t *testing.T) {
	t.Parallel()
	for _, baseLoad := range []float64{0, 0.2} {
		random := rand.New(rand.NewPCG(1, 9))
		engines := newFakeEngines(4, 16)
		for _, e := range engines {
			e.prefillFactor = func() float64 {
				factor := 0.7 + 0.6*random.Float64()
				if random.Float64() < 0.5 {
					return factor / 10
				}
				return factor
			}
		}
		sim := newSimulation(1, engines...)
		q := questionWorkload(nil)
		q.promptTokens = 800
		capacity := 4 * newFakeEngine(16).capacity(q)
		q.rate = burstRate(baseLoad*capacity, 1.5*capacity, 20*time.Second, 70*time.Second)
		f := flagWorkload(constantRate(2))
		sim.run(70*time.Second, time.Minute, f, q)
		t.Logf("%v x capacity of %.1f/s before the burst:%s", baseLoad, capacity, sim.report(f, q))
		if goodput := sim.stats("question").goodput(); goodput < 0.85*capacity {
			t.Errorf("goodput %.1f/s at a capacity of %.1f/s", goodput, capacity)
		}
	}
}
