package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// prefillSamples has a PrefillRate see prompts of many lengths at servers with
// a fixed time and a rate, in tokens a millisecond; one in twenty takes a
// second whatever its length.
func prefillSamples(r *PrefillRate, n int, fixed time.Duration, rate float64) {
	random, now := rand.New(rand.NewPCG(5, 6)), r.lastSample
	if now.IsZero() {
		now = testStart
	}
	for i := range n {
		tokens := random.ExpFloat64() * 5000
		took := fixed + time.Duration(tokens/rate*float64(time.Millisecond))
		took = time.Duration(float64(took) * (0.8 + 0.4*random.Float64()))
		if i%20 == 0 {
			took = time.Second
		}
		now = now.Add(50 * time.Millisecond)
		r.Observe(now, tokens, took)
	}
}

// A model whose first step is slow reads as fast as any: one rate for both
// would be a sixth of the true one here.
func TestPrefillRateTellsFixedTimeFromReading(t *testing.T) {
	var r PrefillRate
	if got := r.rate(); got != initialRate {
		t.Fatalf("starts from %v", got)
	}
	for _, c := range []struct {
		fixed time.Duration
		rate  float64
	}{{100 * time.Millisecond, 70}, {15 * time.Millisecond, 20}, {40 * time.Millisecond, 150}} {
		prefillSamples(&r, 1000, c.fixed, c.rate)
		for _, tokens := range []float64{500, 3000, 12_000} {
			want := c.fixed + time.Duration(tokens/c.rate*float64(time.Millisecond))
			if got := r.expectedTTFT(tokens); float64(got) < 0.75*float64(want) || float64(got) > 1.4*float64(want)+10e6 {
				t.Errorf("fixed %v, %v tokens a ms: %v tokens expected after %v, true %v", c.fixed, c.rate, tokens, got, want)
			}
		}
	}
}

// Samples that all come from one length, or that contradict each other, leave
// an estimate within the bounds.
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
		t.Errorf("learned %v tokens a ms", got)
	}
	if got := r.fixedTime(); got < 0 || got > time.Second {
		t.Errorf("learned a fixed time of %v", got)
	}
}

// Where times scatter, less is let in: half of what is expected just within the
// target would come late.
func TestScatteredTimesLeaveMoreRoom(t *testing.T) {
	learned := func(scatter float64) *PrefillRate {
		r, random := &PrefillRate{}, rand.New(rand.NewPCG(7, 8))
		for i := range 2000 {
			tokens := random.ExpFloat64() * 5000
			millis := (30 + tokens/50) * (1 - scatter + 2*scatter*random.Float64())
			r.Observe(testStart.Add(time.Duration(i)*10*time.Millisecond), tokens, time.Duration(millis*float64(time.Millisecond)))
		}
		return r
	}
	steady, scattered := learned(0.1), learned(0.9)
	servers := serversOf(1)
	servers[0].Pending[4].Requests, servers[0].Pending[4].Tokens = 4, 14_000
	job := Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 3000}
	c := newTestChooser()
	if choice := c.Choose(testStart, job, servers, steady); !choice.InTime {
		t.Errorf("refused at %v of 500 ms where times hardly differ", choice.Expected)
	}
	if choice := c.Choose(testStart, job, servers, scattered); choice.InTime {
		t.Errorf("let in at %v of 500 ms where times scatter by nine tenths", choice.Expected)
	}
}

// The longest prompts can't be in time whatever is done; they are let in at
// idle servers also where the model's first step alone takes a fifth of the
// target.
func TestLongestPromptIsLetInWhereTheFirstStepIsSlow(t *testing.T) {
	r := &PrefillRate{}
	prefillSamples(r, 1000, 120*time.Millisecond, 60)
	c, servers := newTestChooser(), serversOf(3)
	long := summary(5)
	long.Tokens = 46_000
	if choice := c.Choose(testStart, long, servers, r); !choice.InTime {
		t.Errorf("a prompt of 40,000 tokens is refused by idle servers: %+v", choice)
	}
	for i := range servers {
		servers[i].Pending[4].Requests, servers[i].Pending[4].Tokens = 1, 3000
	}
	if choice := c.Choose(testStart, long, servers, r); choice.InTime {
		t.Errorf("a prompt of 40,000 tokens is let in behind others: %+v", choice)
	}
}
