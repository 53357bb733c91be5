package policy

import (
	"testing"
	"time"
)

func flags(rate float64) workload {
	return workload{class: "flag", tier: 0, prompt: 100, answer: 10, firstToken: 500 * time.Millisecond, rate: steady(rate)}
}

func questions(rate func(time.Duration) float64) workload {
	return workload{class: "question", tier: 2, prompt: 200, answer: 60, firstToken: 2 * time.Second, rate: rate, customers: 10, hot: 0.1}
}

func summaries(rate float64) workload {
	return workload{class: "summary", tier: 4, prompt: 3000, answer: 300, completion: 60 * time.Second, rate: steady(rate)}
}

func TestBurstTrial(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 2, 4, 8} {
		var engines []*fakeEngine
		for range 4 {
			engines = append(engines, newFakeEngine(8))
		}
		p := newPlay(1, engines...)
		p.comeback = true
		q := questions(nil)
		capacity := 4 * engines[0].capacity(q)
		q.rate = burst(0.2*capacity, factor*capacity, 30*time.Second, 90*time.Second)
		p.run(3*time.Minute, flags(2), q, summaries(0.3))
		t.Logf("burst %v x capacity %.1f/s\n%s", factor, capacity, p.report())
	}
}
