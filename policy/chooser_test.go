package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func newTestChooser() *Chooser {
	return NewChooser(rand.New(rand.NewPCG(1, 2)), NewEjector(), NewPrefixIndex())
}

// idleServers returns n idle servers with 32 slots each.
func idleServers(n int) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{Name: fmt.Sprintf("e-%d", i), Zone: "z", Slots: 32}
	}
	return servers
}

// summaryJob returns a job with a long prompt and a shared prefix.
func summaryJob(prefix uint64) Job {
	return Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 9000, SharedSegments: []PrefixSegment{{ID: prefix, End: 6000}}}
}

func TestPrefixStaysAtHomeWhileInTime(t *testing.T) {
	c, servers := newTestChooser(), idleServers(8)
	home := c.Choose(testStart, summaryJob(77), servers, nil).Index
	c.index.RecordPrefilled(testStart, KeyOf(servers[home].Name), summaryJob(77).SharedSegments)
	for range 50 {
		if at := c.Choose(testStart, summaryJob(77), servers, nil).Index; at != home {
			t.Fatalf("chose %d on idle servers, then %d", home, at)
		}
	}
	// A wait within the target is accepted.
	servers[home].Pending[4].Requests, servers[home].Pending[4].Tokens = 2, 5000
	if at := c.Choose(testStart, summaryJob(77), servers, nil).Index; at != home {
		t.Errorf("left home for a wait of 5,000 tokens")
	}
	// A wait beyond the target is not.
	servers[home].Pending[4].Requests, servers[home].Pending[4].Tokens = 8, 40_000
	choice := c.Choose(testStart, summaryJob(77), servers, nil)
	if choice.Index == home || !choice.InTime {
		t.Errorf("with 40,000 tokens ahead the choice is %+v, home %d", choice, home)
	}
}

func TestRemovedServerMovesOnlyItsPrefixes(t *testing.T) {
	c, servers := newTestChooser(), idleServers(10)
	before := map[uint64]string{}
	for p := uint64(1); p <= 200; p++ {
		before[p] = servers[c.Choose(testStart, summaryJob(p*0x9e3779b97f4a7c15), servers, nil).Index].Name
	}
	removed := servers[3].Name
	servers = append(servers[:3:3], servers[4:]...)
	for p, oldServer := range before {
		if newServer := servers[c.Choose(testStart, summaryJob(p*0x9e3779b97f4a7c15), servers, nil).Index].Name; newServer != oldServer && oldServer != removed {
			t.Errorf("prefix %d moved from %s to %s when %s was removed", p, oldServer, newServer, removed)
		}
	}
}

func TestUrgentRequestsOvertakePendingOnes(t *testing.T) {
	c, servers := newTestChooser(), idleServers(4)
	for i := range servers {
		servers[i].Pending[4].Requests, servers[i].Pending[4].Tokens = 10, 100_000
	}
	question := Job{Zone: "z", Urgency: 3, Target: 250 * time.Millisecond, Tokens: 800}
	if choice := c.Choose(testStart, question, servers, nil); !choice.InTime {
		t.Errorf("an urgent question is refused because of pending summaries: %+v", choice)
	}
	if choice := c.Choose(testStart, summaryJob(5), servers, nil); choice.InTime {
		t.Errorf("a summary is admitted with 100,000 tokens ahead: %+v", choice)
	}
}

func TestFullBatchesTakeNoMoreRequests(t *testing.T) {
	c, servers := newTestChooser(), idleServers(4)
	for i := range servers {
		servers[i].Running = 31
	}
	if choice := c.Choose(testStart, summaryJob(5), servers, nil); choice.InTime {
		t.Errorf("a request is admitted that would preempt another: %+v", choice)
	}
	servers[2].Running = 3
	if choice := c.Choose(testStart, summaryJob(5), servers, nil); choice.Index != 2 {
		t.Errorf("chose %d, the only one with a free slot is 2", choice.Index)
	}
}

// Guards against sending to a plain service on more connections than it accepts: it resets
// them, and the outcome of their requests is unknown.
func TestPlainServicesKeepSpareConnections(t *testing.T) {
	c, servers := newTestChooser(), idleServers(3)
	for i := range servers {
		servers[i].MaxConns, servers[i].Slots, servers[i].Running = 100, 6, 80
	}
	job := Job{Zone: "z", Target: 100 * time.Millisecond}
	if choice := c.Choose(testStart, job, servers, nil); choice.HasCapacity {
		t.Errorf("a request is admitted beyond the usable connections: %+v", choice)
	}
	servers[1].Running = 20
	if choice := c.Choose(testStart, job, servers, nil); choice.Index != 1 || !choice.HasCapacity {
		t.Errorf("choice %+v, 1 has connections left and queues beyond its slots", choice)
	}
}

func TestLongestPromptIsAdmittedAtIdleServers(t *testing.T) {
	c, servers := newTestChooser(), idleServers(4)
	long := summaryJob(5)
	long.Tokens = 46_000
	if choice := c.Choose(testStart, long, servers, nil); !choice.InTime {
		t.Errorf("a prompt of 46,000 tokens is refused by idle servers: %+v", choice)
	}
}

// Guards against a choice that ignores load because all servers sampled for it drain: with three of four
// usable servers idle, the busy one is chosen only if it is sampled three times, once in 64.
func TestSampleIsDrawnFromUsableServers(t *testing.T) {
	const choices, usableCount, busy = 6400, 4, 0
	c, servers := newTestChooser(), idleServers(3*usableCount)
	for i := usableCount; i < len(servers); i++ {
		servers[i].Draining = true
	}
	servers[busy].Running = 16
	job := Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 500}
	chosen := 0
	for range choices {
		if c.Choose(testStart, job, servers, nil).Index == busy {
			chosen++
		}
	}
	// Twice the expected number; chance alone reaches it in one run of many millions.
	if chosen > 2*choices/64 {
		t.Errorf("the busy server is chosen %d times of %d, expected %d", chosen, choices, choices/64)
	}
}

func TestUnusableServersAreNotChosen(t *testing.T) {
	c, servers := newTestChooser(), idleServers(3)
	servers[0].Draining = true
	job := summaryJob(5)
	job.Tried = []string{servers[1].Name}
	for range 20 {
		if choice := c.Choose(testStart, job, servers, nil); choice.Index != 2 || !choice.Found {
			t.Fatalf("choice %+v, only 2 may be used", choice)
		}
	}
	for range ejectAfterFailures {
		c.ejector.Observe(testStart, servers[2].Name, OutcomeFailed)
	}
	if choice := c.Choose(testStart, job, servers, nil); choice.Index != 2 || !choice.Found {
		t.Errorf("choice %+v, the ejected server is the last resort", choice)
	}
	// If most servers fail, the cause isn't theirs alone, and the others can't carry
	// the load.
	many := idleServers(9)
	for i := range 6 {
		for range ejectAfterFailures {
			c.ejector.Observe(testStart, many[i].Name, OutcomeFailed)
		}
	}
	used := map[int]bool{}
	for range 200 {
		used[c.Choose(testStart, Job{Zone: "z"}, many, nil).Index] = true
	}
	if len(used) != 9 {
		t.Errorf("%d of 9 are used while six are ejected", len(used))
	}
	if choice := c.Choose(testStart, job, servers[:2], nil); choice.Found {
		t.Errorf("choice %+v where none may be used", choice)
	}
}

// Guards against all gateways sending for the last few slots, which all of them see: only
// some of them may.
func TestGatewaysShareTheLastSlots(t *testing.T) {
	const gateways = 30
	sent := 0
	servers := idleServers(20)
	for i := range servers {
		servers[i].Running = 32
	}
	servers[7].Running = 24
	for i := range gateways {
		c := NewChooser(rand.New(rand.NewPCG(uint64(i), 9)), NewEjector(), NewPrefixIndex())
		question := Job{Zone: "z", Urgency: 0, Target: 250 * time.Millisecond, Tokens: 800, UnreportedRequests: gateways - 1}
		if choice := c.Choose(testStart, question, servers, nil); choice.InTime {
			sent++
		}
	}
	if sent < 1 || sent > 10 {
		t.Errorf("%d of %d gateways send to the one server with eight slots left", sent, gateways)
	}
	// A single gateway uses them.
	question := Job{Zone: "z", Urgency: 0, Target: 250 * time.Millisecond, Tokens: 800}
	if choice := newTestChooser().Choose(testStart, question, servers, nil); choice.Index != 7 || !choice.InTime {
		t.Errorf("choice %+v, 7 has slots left", choice)
	}
}

func TestSendRateDecays(t *testing.T) {
	var r SendRate
	for i := range 100 {
		r.CountSent(testStart.Add(time.Duration(i)*10*time.Millisecond), 3, 50)
	}
	if got, tokens := r.Expected(testStart.Add(time.Second), 100*time.Millisecond, 3); got < 8 || got > 11 || math.Abs(tokens-50*got) > 1 {
		t.Errorf("%v requests with %v tokens expected in 100 ms at 100 requests a second with 50 tokens each", got, tokens)
	}
	if got, tokens := r.Expected(testStart.Add(4*time.Second), 100*time.Millisecond, 2); got > 0.1 || tokens != 0 {
		t.Errorf("%v requests with %v tokens expected three seconds after the last, want about none", got, tokens)
	}
}

// Guards against a gateway that gets most callers' connections and takes the others to send as much as
// itself: it would refuse what the servers have room for.
func TestSendsElsewhereFollowWhatOthersReport(t *testing.T) {
	const rate, interval = 100, 100 * time.Millisecond
	cases := map[string]struct {
		// own and others are the requests a second at this gateway and at all others.
		own, others int
		// want is the number of requests that the others send within interval.
		want float64
	}{
		"even, six gateways":   {rate / 6, rate * 5 / 6, 8.3},
		"all here":             {rate, 0, 0},
		"half here":            {rate / 2, rate / 2, 5},
		"nearly all elsewhere": {2, rate, 10},
		"all elsewhere":        {0, rate, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var sends SendRate
			var ownOffers, otherOffers OfferCounter
			now := testStart
			for i := range 3 * 1000 {
				now = testStart.Add(time.Duration(i) * time.Millisecond)
				if c.own > 0 && i%(1000/c.own) == 0 {
					ownOffers.Observe(now, 3, false)
					sends.CountSent(now, 3, 50)
				}
				if c.others > 0 && i%(1000/c.others) == 0 {
					otherOffers.Observe(now, 3, false)
				}
			}
			own, others := ownOffers.Counts(now), otherOffers.Counts(now)
			requests, tokens := sends.ExpectedElsewhere(now, interval, 3, &own, &others)
			if math.Abs(requests-c.want) > 0.35*c.want {
				t.Errorf("%.1f requests expected from others, want about %.1f", requests, c.want)
			}
			if c.own > 0 && math.Abs(tokens-50*requests) > 1 {
				t.Errorf("%.0f tokens expected with %.1f requests of 50 tokens", tokens, requests)
			}
		})
	}
}

// A service without servers gives no choice.
func TestChooseWithoutServers(t *testing.T) {
	c := newTestChooser()
	for _, job := range []Job{summaryJob(5), {Zone: "z"}} {
		if choice := c.Choose(testStart, job, nil, nil); choice.Found || choice.InTime {
			t.Errorf("chose %+v without servers", choice)
		}
	}
}
