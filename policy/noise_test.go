package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestUnevenPrompts plays engines on which the time to read a prompt differs
// by ten times from one to the next, as with a cache of prompts: that is no
// sign of a queue inside the engine, and the limit stays.
func TestUnevenPrompts(t *testing.T) {
	t.Parallel()
	for _, quiet := range []float64{0, 0.2} {
		random := rand.New(rand.NewPCG(1, 9))
		engines := fleet(4, 16)
		for _, e := range engines {
			e.uneven = func() float64 {
				spread := 0.7 + 0.6*random.Float64()
				if random.Float64() < 0.5 {
					return spread / 10
				}
				return spread
			}
		}
		p := newPlay(1, engines...)
		q := questions(nil)
		q.prompt = 800
		capacity := 4 * newFakeEngine(16).capacity(q)
		q.rate = burst(quiet*capacity, 1.5*capacity, 20*time.Second, 70*time.Second)
		f := flags(steady(2))
		p.run(70*time.Second, time.Minute, f, q)
		t.Logf("before the burst %v x capacity %.1f/s:%s", quiet, capacity, p.report(f, q))
		if goodput := p.tally("question").goodput(); goodput < 0.85*capacity {
			t.Errorf("goodput %.1f/s of %.1f/s", goodput, capacity)
		}
	}
}
