package policy

import (
	"testing"
	"time"
)

func TestTrialPreempt(t *testing.T) {
	for _, pre := range []bool{false, true} {
		for _, rate := range []float64{2, 10, 20, 40, 80, 160} {
			var engines []*fakeEngine
			for range 4 {
				engines = append(engines, newFakeEngine(8))
			}
			p := newPlay(1, engines...)
			p.comeback = true
			p.preemption = pre
			f := flags(0)
			f.rate = burst(1, rate, 35*time.Second, 90*time.Second)
			s := summaries(4)
			p.run(3*time.Minute, f, s)
			t.Logf("preemption %v flags %v/s of capacity %.1f\n%s", pre, rate, 4*engines[0].capacity(f), p.report())
		}
	}
}
