package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a change of choices where all servers are alike: a known slowdown of 1 gives the same
// choices as an unknown one, for jobs with and without shared prefixes.
func TestEqualSlowdownsChangeNothing(t *testing.T) {
	choose := func(slowdown float64) []Choice {
		c, random := newTestChooser(), rand.New(rand.NewPCG(3, 9))
		var choices []Choice
		for i := range 500 {
			servers := idleServers(12)
			for s := range servers {
				servers[s].Slowdown = slowdown
				servers[s].Running = random.IntN(32)
				servers[s].Pending[3].Requests = random.IntN(4)
				servers[s].Pending[3].Tokens = 3000 * servers[s].Pending[3].Requests
			}
			job := Job{Zone: "z", Urgency: 3, Target: 300 * time.Millisecond, Tokens: 200 + random.IntN(3000), UnreportedTokens: 30_000, ReportAge: 50 * time.Millisecond}
			if i%2 == 0 {
				job = summaryJob(uint64(1 + random.IntN(5)))
				job.FetchRate = 200
			}
			choice := c.Choose(testStart, job, servers, nil)
			if choice.TokensAhead != choice.QueuedTokens+float64(choice.PrefillTokens) {
				t.Fatalf("%v tokens ahead, %v are queued and %d the request's own", choice.TokensAhead, choice.QueuedTokens, choice.PrefillTokens)
			}
			c.index.RecordPrefilled(testStart, KeyOf(servers[choice.Index].Name), job.SharedSegments)
			choices = append(choices, choice)
		}
		return choices
	}
	unknown, known := choose(0), choose(1)
	for i := range unknown {
		if unknown[i] != known[i] {
			t.Fatalf("choice %d is %+v with slowdown 1 and %+v without", i, known[i], unknown[i])
		}
	}
}

// Guards against judging a server by its queue alone: a request goes where its first token is expected
// first, and it isn't admitted at a slow server with a queue that an average one prefills in time.
func TestSlowdownCountsForExpectedTimeAndAdmission(t *testing.T) {
	job := Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 2000}
	c, servers := newTestChooser(), idleServers(1)
	servers[0].Pending[4].Requests, servers[0].Pending[4].Tokens = 2, 6000
	average := c.Choose(testStart, job, servers, nil)
	servers[0].Slowdown = 2
	slow := c.Choose(testStart, job, servers, nil)
	servers[0].Slowdown = 0.5
	fast := c.Choose(testStart, job, servers, nil)
	if !average.InTime || slow.InTime || !fast.InTime {
		t.Errorf("admitted at an average server %v, at a slow one %v, at a fast one %v", average.InTime, slow.InTime, fast.InTime)
	}
	if slow.TokensAhead != 2*average.TokensAhead || fast.TokensAhead != average.TokensAhead/2 || slow.PrefillTokens != 2000 || fast.QueuedTokens != average.QueuedTokens {
		t.Errorf("%+v at an average server, %+v at a slow one, %+v at a fast one", average, slow, fast)
	}
	if slow.ExpectedTTFT <= average.ExpectedTTFT || fast.ExpectedTTFT >= average.ExpectedTTFT {
		t.Errorf("expected after %v at an average server, %v at a slow one, %v at a fast one", average.ExpectedTTFT, slow.ExpectedTTFT, fast.ExpectedTTFT)
	}
	// The longer queue of the fast server ends sooner.
	servers = idleServers(2)
	servers[0].Pending[4].Requests, servers[0].Pending[4].Tokens, servers[0].Slowdown = 2, 5000, 0.5
	servers[1].Pending[4].Requests, servers[1].Pending[4].Tokens, servers[1].Slowdown = 2, 4000, 1.2
	chosen := [2]int{}
	for range 400 {
		chosen[c.Choose(testStart, job, servers, nil).Index]++
	}
	// One of eight samples of three has the slow server only.
	if chosen[1] > 100 {
		t.Errorf("the slow server is chosen %d times of 400", chosen[1])
	}
}

// Guards against a slow server that gets no work: it serves requests without a target while others are
// busy, and one that is idle is in time for most.
func TestSlowServersStayInUse(t *testing.T) {
	c, servers := newTestChooser(), idleServers(4)
	servers[0].Slowdown = 2
	for i := range servers[1:] {
		servers[i+1].Pending[4].Requests, servers[i+1].Pending[4].Tokens = 3, 12_000
	}
	for name, target := range map[string]time.Duration{"no target": 0, "a target of 500 ms": 500 * time.Millisecond} {
		used := 0
		for range 200 {
			if choice := c.Choose(testStart, Job{Zone: "z", Urgency: 4, Target: target, Tokens: 2000}, servers, nil); choice.Index == 0 && choice.InTime {
				used++
			}
		}
		// A sample of three of four has the server in 37 of 64 cases.
		if used < 80 {
			t.Errorf("%s: the slow idle server got %d of 200 requests", name, used)
		}
	}
}

// Guards against a fetch at the cost of an average server's prefill: the transfer takes as long at a slow
// server, and its own prefill longer.
func TestTransferTakesAsLongAtSlowServers(t *testing.T) {
	c := newTestChooser()
	job := summaryJob(77)
	job.FetchRate = 400
	c.index.RecordPrefilled(testStart, KeyOf("e-0"), job.SharedSegments)
	transferTime := func(slowdown float64) float64 {
		servers := idleServers(2)
		servers[1].Slowdown = slowdown
		usable := func(*Server) bool { return true }
		lookup := c.lookUpPrefix(testStart, &job, servers, usable)
		miss := lookup.missAt(1, &servers[1], &job, nil)
		if miss.fetched == 0 {
			t.Fatalf("nothing is fetched at slowdown %v", slowdown)
		}
		return miss.transferTokens * slowdown
	}
	if slow, average := transferTime(2), transferTime(1); math.Abs(slow-average) > 1e-9 {
		t.Errorf("the transfer takes as long as the prefill of %v tokens at an average server, %v at a slow one", average, slow)
	}
}

// Guards against learning a rate that fits no server: if tokens ahead weren't multiplied by the slowdown,
// times at servers of two speeds would look like noise, and admission would allow for it.
func TestPrefillRateIsLearnedAtServersOfTwoSpeeds(t *testing.T) {
	const rate = 50.0
	learn := func(scaled bool) *PrefillRate {
		r, random := &PrefillRate{}, rand.New(rand.NewPCG(5, 6))
		for i := range 3000 {
			slowdown := 1.15
			if i%4 == 0 {
				slowdown = 0.55
			}
			tokens := random.ExpFloat64() * 5000
			millis := (30 + slowdown*tokens/rate) * (0.9 + 0.2*random.Float64())
			if scaled {
				tokens *= slowdown
			}
			r.Observe(testStart.Add(time.Duration(i)*20*time.Millisecond), tokens, time.Duration(millis*float64(time.Millisecond)))
		}
		return r
	}
	scaled, unscaled := learn(true), learn(false)
	t.Logf("rate %.1f, deviation %.2f; %.1f and %.2f without slowdowns", scaled.rate(), scaled.deviation(), unscaled.rate(), unscaled.deviation())
	if math.Abs(scaled.rate()-rate) > 0.15*rate || scaled.deviation() > 0.12 {
		t.Errorf("rate %.1f with deviation %.2f", scaled.rate(), scaled.deviation())
	}
	if unscaled.deviation() < 1.5*scaled.deviation() {
		t.Errorf("deviation %.2f without slowdowns, %.2f with", unscaled.deviation(), scaled.deviation())
	}
}

// Guards against a plan at another speed than the server's: the plan's tokens are those of the prompt, as
// other gateways count them, and end when the server is expected to have prefilled them.
func TestPlanAtServersOfTwoSpeeds(t *testing.T) {
	var r *PrefillRate
	for _, slowdown := range []float64{0.5, 1, 2} {
		choice := Choice{PrefillTokens: 2000, QueuedTokens: 4000, Slowdown: slowdown, TokensAhead: slowdown * 6000}
		plan := r.PlanChoice(testStart, choice)
		// At 40 tokens per millisecond, the average server prefills the prompt from 120 to 170 ms.
		scale := func(d time.Duration) time.Duration {
			return initialFixedTime + time.Duration(slowdown*float64(d))
		}
		for _, c := range []struct {
			after     time.Duration
			remaining int
		}{{0, 2000}, {scale(100 * time.Millisecond), 2000}, {scale(125 * time.Millisecond), 1000}, {scale(150 * time.Millisecond), 500}} {
			if got := plan.Remaining(testStart.Add(c.after)); got != c.remaining {
				t.Errorf("slowdown %v: %v after sending %d tokens remain, want %d", slowdown, c.after, got, c.remaining)
			}
		}
	}
}

// Guards against all gateways sending to a slow server before they know of each other's requests: with
// what others may have sent there, fewer are admitted than at an average server.
func TestUnreportedTokensTakeLongerAtSlowServers(t *testing.T) {
	admitted := func(slowdown float64) int {
		c, n := newTestChooser(), 0
		for range 400 {
			servers := idleServers(1)
			servers[0].Slowdown = slowdown
			job := Job{Zone: "z", Urgency: 4, Target: 400 * time.Millisecond, Tokens: 2000, UnreportedTokens: 12_000, ReportAge: 50 * time.Millisecond}
			if c.Choose(testStart, job, servers, nil).InTime {
				n++
			}
		}
		return n
	}
	fast, average, slow := admitted(0.5), admitted(1), admitted(2)
	t.Logf("admitted of 400: %d at a fast server, %d at an average one, %d at a slow one", fast, average, slow)
	if fast <= average || average <= slow || slow == 0 {
		t.Errorf("admitted of 400: %d at a fast server, %d at an average one, %d at a slow one", fast, average, slow)
	}
}
