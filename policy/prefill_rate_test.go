package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// observePrefillSamples lets a PrefillRate observe n prompts of various lengths at servers
// with a fixed time and a rate in tokens per millisecond. One sample in twenty takes a
// second whatever its length.
func observePrefillSamples(r *PrefillRate, n int, fixed time.Duration, rate float64) {
	random, now := rand.New(rand.NewPCG(5, 6)), r.lastSample
	if now.IsZero() {
		now = testStart
	}
	for i := range n {
		tokens := random.ExpFloat64() * 5000
		latency := fixed + time.Duration(tokens/rate*float64(time.Millisecond))
		latency = time.Duration(float64(latency) * (0.8 + 0.4*random.Float64()))
		if i%20 == 0 {
			latency = time.Second
		}
		now = now.Add(50 * time.Millisecond)
		r.Observe(now, tokens, latency)
	}
}

// Guards against mistaking a slow first step for slow prefill: a single rate without a fixed
// time would be a sixth of the true one here.
func TestPrefillRateSeparatesFixedTimeFromPrefill(t *testing.T) {
	var r PrefillRate
	if got := r.rate(); got != initialRate {
		t.Fatalf("the initial rate is %v", got)
	}
	for _, c := range []struct {
		fixed time.Duration
		rate  float64
	}{{100 * time.Millisecond, 70}, {15 * time.Millisecond, 20}, {40 * time.Millisecond, 150}} {
		observePrefillSamples(&r, 1000, c.fixed, c.rate)
		for _, tokens := range []float64{500, 3000, 12_000} {
			want := c.fixed + time.Duration(tokens/c.rate*float64(time.Millisecond))
			if got := r.expectedTTFT(tokens); float64(got) < 0.75*float64(want) || float64(got) > 1.4*float64(want)+10e6 {
				t.Errorf("fixed time %v, %v tokens per ms: first token of %v tokens expected after %v, want %v", c.fixed, c.rate, tokens, got, want)
			}
		}
	}
}

// Samples that all have the same length, or that contradict each other, must leave the
// estimate within its bounds.
func TestPrefillRateStaysWithinBounds(t *testing.T) {
	var r PrefillRate
	now := testStart
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		r.Observe(now, 9000, 120*time.Millisecond)
	}
	if got := r.expectedTTFT(9000); got < 100*time.Millisecond || got > 140*time.Millisecond {
		t.Errorf("9,000 tokens always took 120 ms; expected after %v", got)
	}
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		r.Observe(now, 9000, 120*time.Millisecond)
		r.Observe(now, 100, time.Second)
	}
	if got := r.rate(); got < minRate || got > maxRate {
		t.Errorf("estimated rate: %v tokens per ms", got)
	}
	if got := r.fixedTime(); got < 0 || got > time.Second {
		t.Errorf("estimated fixed time: %v", got)
	}
}

// Guards against admitting by the expected time alone when times vary widely: half of the
// requests that are expected just within the target would be late.
func TestHighVarianceAdmitsLess(t *testing.T) {
	trained := func(spread float64) *PrefillRate {
		r, random := &PrefillRate{}, rand.New(rand.NewPCG(7, 8))
		for i := range 2000 {
			tokens := random.ExpFloat64() * 5000
			millis := (30 + tokens/50) * (1 - spread + 2*spread*random.Float64())
			r.Observe(testStart.Add(time.Duration(i)*10*time.Millisecond), tokens, time.Duration(millis*float64(time.Millisecond)))
		}
		return r
	}
	steady, scattered := trained(0.1), trained(0.9)
	servers := idleServers(1)
	servers[0].Pending[4].Requests, servers[0].Pending[4].Tokens = 4, 14_000
	job := Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 3000}
	c := newTestChooser()
	if choice := c.Choose(testStart, job, servers, steady); !choice.InTime {
		t.Errorf("refused with an expected %v of 500 ms and low variance", choice.ExpectedTTFT)
	}
	if choice := c.Choose(testStart, job, servers, scattered); choice.InTime {
		t.Errorf("admitted with an expected %v of 500 ms and times that vary by nine tenths", choice.ExpectedTTFT)
	}
}

// Guards against never admitting the longest prompts, which can't be in time anyway: idle
// servers admit them even if the model's first step alone takes a fifth of the target.
func TestLongestPromptIsAdmittedDespiteSlowFirstStep(t *testing.T) {
	r := &PrefillRate{}
	observePrefillSamples(r, 1000, 120*time.Millisecond, 60)
	c, servers := newTestChooser(), idleServers(3)
	long := summaryJob(5)
	long.Tokens = 46_000
	if choice := c.Choose(testStart, long, servers, r); !choice.InTime {
		t.Errorf("a prompt of 46,000 tokens is refused by idle servers: %+v", choice)
	}
	for i := range servers {
		servers[i].Pending[4].Requests, servers[i].Pending[4].Tokens = 1, 3000
	}
	if choice := c.Choose(testStart, long, servers, r); choice.InTime {
		t.Errorf("a prompt of 46,000 tokens is admitted with other requests ahead: %+v", choice)
	}
}
