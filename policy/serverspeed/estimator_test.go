package serverspeed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// workload feeds an Estimator with samples of servers with the keys 0 to len(intervals)-1: some ten
// a second and server, as gateways measured, with noise of a tenth.
type workload struct {
	estimator Estimator
	random    *rand.Rand
	now       time.Time
	// interval returns the time between events at a server.
	interval func(server int, now time.Time) time.Duration
	servers  int
	// loss is the share of samples that are lost.
	loss float64
	// noise is the largest relative deviation of a sample.
	noise float64
}

func newWorkload(servers int, interval func(server int, now time.Time) time.Duration) *workload {
	return &workload{random: rand.New(rand.NewPCG(3, 4)), now: testStart, servers: servers, interval: interval, noise: 0.1}
}

// run feeds samples for a time, and calls check every 50 ms.
func (w *workload) run(d time.Duration, check func()) {
	const step = 50 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for server := range w.servers {
			// Ten samples a second on average.
			if w.random.Float64() < 0.5 && w.random.Float64() >= w.loss {
				noise := 1 + w.noise*(2*w.random.Float64()-1)
				w.estimator.Observe(w.now, policy.Key(server), time.Duration(noise*float64(w.interval(server, w.now))))
			}
		}
		if check != nil {
			check()
		}
	}
}

func (w *workload) slowdown(server int) float64 {
	return w.estimator.Slowdown(w.now, policy.Key(server))
}

const normalInterval = 24 * time.Millisecond

// steady returns the interval of each server where those whose number is divisible by every differ
// from the others by factor.
func steady(every int, factor float64) func(int, time.Time) time.Duration {
	return func(server int, _ time.Time) time.Duration {
		if server%every == 0 {
			return time.Duration(factor * float64(normalInterval))
		}
		return normalInterval
	}
}

// Guards against a slowdown that doesn't follow from the speeds, against equal servers that are
// distinguished because they all differ from the mean, and against learning too late.
func TestServersOfTwoSpeeds(t *testing.T) {
	cases := map[string]struct {
		servers, every int
		factor         float64
	}{
		"one in four at twice the speed":  {58, 4, 0.5},
		"one in four at half the speed":   {58, 4, 2},
		"one in three at twice the speed": {3, 3, 0.5},
		"one in three at half the speed":  {60, 3, 2},
		"half at twice the speed":         {20, 2, 0.5},
		"one of two at half the speed":    {2, 2, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorkload(c.servers, steady(c.every, c.factor))
			w.run(2*time.Second, nil)
			different := (c.servers + c.every - 1) / c.every
			mean := (float64(different)*c.factor + float64(c.servers-different)) / float64(c.servers)
			w.run(30*time.Second, func() {
				ordinary := map[float64]int{}
				for server := range c.servers {
					want := 1 / mean
					if server%c.every == 0 {
						want = c.factor / mean
					}
					got := w.slowdown(server)
					if math.Abs(got-want) > 0.12*want {
						t.Fatalf("after %v server %d has slowdown %.3f, want %.3f", w.now.Sub(testStart), server, got, want)
					}
					if server%c.every != 0 {
						ordinary[got]++
					}
				}
				if c.every > 2 && len(ordinary) != 1 {
					t.Fatalf("equal servers have slowdowns %v", ordinary)
				}
			})
			faster, slower := w.estimator.Distinguished(w.now)
			if c.every > 2 && faster+slower != different {
				t.Errorf("%d faster and %d slower servers, want %d", faster, slower, different)
			}
		})
	}
}

// Guards against preferring some of the servers by chance: if all are equally slow, or become twice as
// slow together and fast again, none is distinguished.
func TestEquallySlowServersAreNotDistinguished(t *testing.T) {
	w := newWorkload(58, func(_ int, now time.Time) time.Duration {
		if elapsed := now.Sub(testStart); elapsed > 20*time.Second && elapsed < 40*time.Second {
			return 2 * normalInterval
		}
		return normalInterval
	})
	w.run(60*time.Second, func() {
		for server := range w.servers {
			if got := w.slowdown(server); got != 1 {
				t.Fatalf("after %v server %d has slowdown %.3f", w.now.Sub(testStart), server, got)
			}
		}
	})
}

// Guards against following random slow phases: servers that are slow for half a second now and then are
// equally fast on average, and by the time gateways know of a phase it is over.
func TestShortSlowPhasesAreIgnored(t *testing.T) {
	phases := rand.New(rand.NewPCG(5, 6))
	const servers = 20
	var slowUntil, nextPhase [servers]time.Time
	w := newWorkload(servers, func(server int, now time.Time) time.Duration {
		if !now.Before(nextPhase[server]) {
			slowUntil[server] = now.Add(500 * time.Millisecond)
			nextPhase[server] = now.Add(time.Duration((1.5 + 4*phases.Float64()) * float64(time.Second)))
		}
		if now.Before(slowUntil[server]) {
			return time.Duration(2.5 * float64(normalInterval))
		}
		return normalInterval
	})
	for server := range nextPhase {
		nextPhase[server] = testStart.Add(time.Duration(phases.Float64() * 4 * float64(time.Second)))
	}
	w.run(3*time.Second, nil)
	checks, distinguished := 0, 0
	w.run(60*time.Second, func() {
		for server := range servers {
			checks++
			if w.slowdown(server) != 1 {
				distinguished++
			}
		}
	})
	t.Logf("distinguished in %d of %d checks", distinguished, checks)
	if 100*distinguished > checks {
		t.Errorf("distinguished in %d of %d checks", distinguished, checks)
	}
}

// Guards against noticing a slow server, or its recovery, after the matter is over.
func TestServerThatIsSlowForFiveSeconds(t *testing.T) {
	slowFrom, slowTo := testStart.Add(5*time.Second), testStart.Add(10*time.Second)
	w := newWorkload(12, func(server int, now time.Time) time.Duration {
		if server == 7 && !now.Before(slowFrom) && now.Before(slowTo) {
			return 3 * normalInterval
		}
		return normalInterval
	})
	var noticed, recovered time.Duration
	w.run(20*time.Second, func() {
		slow := w.slowdown(7) > 2
		switch {
		case noticed == 0 && slow:
			noticed = w.now.Sub(slowFrom)
		case noticed > 0 && recovered == 0 && w.slowdown(7) == 1:
			recovered = w.now.Sub(slowTo)
		case recovered > 0 && slow:
			t.Fatal("slow again after its recovery")
		}
	})
	t.Logf("noticed after %v, recovered after %v", noticed, recovered)
	if noticed <= 0 || noticed > 2500*time.Millisecond {
		t.Errorf("noticed after %v", noticed)
	}
	if recovered <= 0 || recovered > 2500*time.Millisecond {
		t.Errorf("recovered after %v", recovered)
	}
}

// Guards against following differences about the threshold: a server that is 15 percent slower isn't
// distinguished, one that was distinguished stays so at that difference.
func TestHysteresis(t *testing.T) {
	factor := 1.15
	w := newWorkload(20, func(server int, _ time.Time) time.Duration {
		if server == 0 {
			return time.Duration(factor * float64(normalInterval))
		}
		return normalInterval
	})
	// With the full noise the estimate itself varies by some 3 percent in the first second.
	w.noise = 0.05
	check := func(want bool) func() {
		return func() {
			if got := w.slowdown(0) != w.slowdown(1); got != want {
				t.Fatalf("after %v, at %.2f times the interval: distinguished %v, want %v", w.now.Sub(testStart), factor, got, want)
			}
		}
	}
	w.run(20*time.Second, check(false))
	factor = 1.4
	w.run(4*time.Second, nil)
	check(true)()
	factor = 1.16
	w.run(20*time.Second, check(true))
	factor = 1
	w.run(4*time.Second, nil)
	w.run(10*time.Second, check(false))
}

// Guards against a slowdown without evidence, and against one that outlives its evidence: a new server,
// one that was removed, one with few samples, and one that no gateway has reported for ten seconds count
// as average.
func TestUnknownServers(t *testing.T) {
	w := newWorkload(8, steady(4, 0.5))
	if got := w.slowdown(0); got != 1 {
		t.Errorf("slowdown %.2f before the first sample", got)
	}
	w.run(100*time.Millisecond, nil)
	if got := w.slowdown(0); got != 1 {
		t.Errorf("slowdown %.2f after a tenth of a second", got)
	}
	w.run(5*time.Second, nil)
	if got := w.slowdown(0); got > 0.7 {
		t.Fatalf("slowdown %.2f of a server at twice the speed", got)
	}
	w.estimator.RemoveServer(0)
	if got := w.slowdown(0); got != 1 {
		t.Errorf("slowdown %.2f after the server was removed", got)
	}
	if got := w.slowdown(99); got != 1 {
		t.Errorf("slowdown %.2f of a server that was never reported", got)
	}
	if got := w.slowdown(4); got > 0.7 {
		t.Errorf("slowdown %.2f of another server", got)
	}
	w.now = w.now.Add(11 * time.Second)
	if got := w.slowdown(4); got != 1 {
		t.Errorf("slowdown %.2f eleven seconds after the last sample", got)
	}
	if n := len(w.estimator.servers); n != 0 {
		t.Errorf("%d servers are still stored", n)
	}
}

// Guards against absurd samples, and against a server that hangs: it must not make all others appear
// fast.
func TestAbsurdSamplesAreIgnored(t *testing.T) {
	var e Estimator
	for i := range 100 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, interval := range []time.Duration{0, -time.Second, MaxInterval + 1, math.MaxInt64, math.MinInt64} {
			e.Observe(now, 1, interval)
		}
	}
	if len(e.servers) != 0 {
		t.Errorf("absurd samples were stored: %+v", e.servers)
	}
	w := newWorkload(20, func(server int, _ time.Time) time.Duration {
		if server == 0 {
			return 8 * time.Second
		}
		return normalInterval
	})
	w.run(10*time.Second, nil)
	if got := w.slowdown(0); got < 3 || got > maxRatio {
		t.Errorf("slowdown %.2f of a server that hangs", got)
	}
	if got := w.slowdown(1); got < 0.8 || got > 1 {
		t.Errorf("slowdown %.2f of the others", got)
	}
}

// Guards against depending on each sample: datagrams may be lost, and a single gateway may be cut off
// from the others.
func TestLostSamples(t *testing.T) {
	w := newWorkload(20, steady(4, 0.5))
	w.loss = 0.8
	w.run(10*time.Second, nil)
	w.run(20*time.Second, func() {
		if fast, other := w.slowdown(0), w.slowdown(1); fast > 0.75*other {
			t.Fatalf("slowdowns %.2f and %.2f", fast, other)
		}
	})
}

// Guards against state that grows with the samples.
func TestStateIsBounded(t *testing.T) {
	var e Estimator
	for i := range 100_000 {
		now := testStart.Add(time.Duration(i) * 10 * time.Millisecond)
		e.Observe(now, policy.Key(i), normalInterval)
	}
	if most := int(maxPeriodAge*int64(periodLength)/int64(10*time.Millisecond)) + 100; len(e.servers) > most {
		t.Errorf("%d servers are stored, the samples of 10 s are of %d", len(e.servers), most)
	}
}

// A clock that steps back must not cause a failure or stop the estimates for good.
func TestSamplesOutOfOrder(t *testing.T) {
	var e Estimator
	for i := range 100 {
		e.Observe(testStart.Add(time.Duration(i)*100*time.Millisecond), 1, normalInterval)
		e.Observe(testStart.Add(time.Duration(100-i)*100*time.Millisecond), 2, normalInterval/2)
	}
	if got := e.Slowdown(testStart, 1); got <= 0 || math.IsNaN(got) || math.IsInf(got, 0) {
		t.Errorf("slowdown %v", got)
	}
}

// BenchmarkSlowdown measures the lookup of all servers of a service for one choice.
func BenchmarkSlowdown(b *testing.B) {
	w := newWorkload(100, steady(4, 0.5))
	w.run(5*time.Second, nil)
	for b.Loop() {
		for server := range w.servers {
			w.slowdown(server)
		}
	}
}

// BenchmarkEstimate measures the periodic estimate of 100 servers.
func BenchmarkEstimate(b *testing.B) {
	w := newWorkload(100, steady(4, 0.5))
	w.run(5*time.Second, nil)
	for b.Loop() {
		w.estimator.estimatedIn = 0
		w.slowdown(0)
	}
}
