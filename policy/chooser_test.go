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

// serversOf returns idle servers with 32 slots.
func serversOf(n int) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{Name: fmt.Sprintf("e-%d", i), Zone: "z", Slots: 32}
	}
	return servers
}

func summary(prefix uint64) Job {
	return Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 9000, Shared: []Part{{ID: prefix, Upto: 6000}}}
}

func TestPrefixStaysHomeWhileInTime(t *testing.T) {
	c, servers := newTestChooser(), serversOf(8)
	home := c.Choose(testStart, summary(77), servers, nil).At
	c.index.Read(testStart, KeyOf(servers[home].Name), summary(77).Shared)
	for range 50 {
		if at := c.Choose(testStart, summary(77), servers, nil).At; at != home {
			t.Fatalf("chose %d on idle servers, then %d", home, at)
		}
	}
	// A wait that leaves the target alone is borne.
	servers[home].Pending[4].Requests, servers[home].Pending[4].Tokens = 2, 5000
	if at := c.Choose(testStart, summary(77), servers, nil).At; at != home {
		t.Errorf("left home for a wait of 5,000 tokens")
	}
	// One that doesn't is not.
	servers[home].Pending[4].Requests, servers[home].Pending[4].Tokens = 8, 40_000
	choice := c.Choose(testStart, summary(77), servers, nil)
	if choice.At == home || !choice.InTime {
		t.Errorf("with 40,000 tokens before it the choice is %+v, home %d", choice, home)
	}
}

func TestChangeOfServersMovesOnlyTheirPrefixes(t *testing.T) {
	c, servers := newTestChooser(), serversOf(10)
	before := map[uint64]string{}
	for p := uint64(1); p <= 200; p++ {
		before[p] = servers[c.Choose(testStart, summary(p*0x9e3779b97f4a7c15), servers, nil).At].Name
	}
	gone := servers[3].Name
	servers = append(servers[:3:3], servers[4:]...)
	for p, was := range before {
		if is := servers[c.Choose(testStart, summary(p*0x9e3779b97f4a7c15), servers, nil).At].Name; is != was && was != gone {
			t.Errorf("prefix %d moved from %s to %s when %s left", p, was, is, gone)
		}
	}
}

func TestUrgentRequestsPassWhatWaits(t *testing.T) {
	c, servers := newTestChooser(), serversOf(4)
	for i := range servers {
		servers[i].Pending[4].Requests, servers[i].Pending[4].Tokens = 10, 100_000
	}
	question := Job{Zone: "z", Urgency: 3, Target: 250 * time.Millisecond, Tokens: 800}
	if choice := c.Choose(testStart, question, servers, nil); !choice.InTime {
		t.Errorf("an urgent question is refused for the sake of summaries: %+v", choice)
	}
	if choice := c.Choose(testStart, summary(5), servers, nil); choice.InTime {
		t.Errorf("a summary is let in behind 100,000 tokens: %+v", choice)
	}
}

func TestFullBatchesTakeNoMore(t *testing.T) {
	c, servers := newTestChooser(), serversOf(4)
	for i := range servers {
		servers[i].Running = 31
	}
	if choice := c.Choose(testStart, summary(5), servers, nil); choice.InTime {
		t.Errorf("a request is let in that would put back another: %+v", choice)
	}
	servers[2].Running = 3
	if choice := c.Choose(testStart, summary(5), servers, nil); choice.At != 2 {
		t.Errorf("chose %d, the only one with a slot is 2", choice.At)
	}
}

// A plain service that has as many requests as connections would reset the
// next one.
func TestPlainServicesAreLeftTheirConnections(t *testing.T) {
	c, servers := newTestChooser(), serversOf(3)
	for i := range servers {
		servers[i].Conns, servers[i].Slots, servers[i].Running = 100, 6, 80
	}
	call := Job{Zone: "z", Target: 100 * time.Millisecond}
	if choice := c.Choose(testStart, call, servers, nil); choice.Room {
		t.Errorf("a call is let in beyond the connections: %+v", choice)
	}
	servers[1].Running = 20
	if choice := c.Choose(testStart, call, servers, nil); choice.At != 1 || !choice.Room {
		t.Errorf("choice %+v, 1 has connections left and queues beyond its slots", choice)
	}
}

func TestLongestPromptIsLetInWhereLittleWaits(t *testing.T) {
	c, servers := newTestChooser(), serversOf(4)
	long := summary(5)
	long.Tokens = 46_000
	if choice := c.Choose(testStart, long, servers, nil); !choice.InTime {
		t.Errorf("a prompt of 40,000 tokens is refused by idle servers: %+v", choice)
	}
}

func TestUnusableServers(t *testing.T) {
	c, servers := newTestChooser(), serversOf(3)
	servers[0].Leaving = true
	job := summary(5)
	job.Tried = []string{servers[1].Name}
	for range 20 {
		if choice := c.Choose(testStart, job, servers, nil); choice.At != 2 || !choice.Found {
			t.Fatalf("choice %+v, only 2 may be used", choice)
		}
	}
	for range ejectAfter {
		c.ejector.Observe(testStart, servers[2].Name, OutcomeFailed)
	}
	if choice := c.Choose(testStart, job, servers, nil); choice.At != 2 || !choice.Found {
		t.Errorf("choice %+v, the ejected one is the last resort", choice)
	}
	// Where most fail the fault is not theirs alone, and the rest can't carry
	// the load.
	many := serversOf(9)
	for i := range 6 {
		for range ejectAfter {
			c.ejector.Observe(testStart, many[i].Name, OutcomeFailed)
		}
	}
	used := map[int]bool{}
	for range 200 {
		used[c.Choose(testStart, Job{Zone: "z"}, many, nil).At] = true
	}
	if len(used) != 9 {
		t.Errorf("%d of 9 are used while six are ejected", len(used))
	}
	if choice := c.Choose(testStart, job, servers[:2], nil); choice.Found {
		t.Errorf("choice %+v where none may be used", choice)
	}
}

// Where few slots are left all senders see the same ones. Each takes its chance
// of them, not all of them.
func TestSendersShareTheLastSlots(t *testing.T) {
	const senders = 30
	sent := 0
	servers := serversOf(20)
	for i := range servers {
		servers[i].Running = 32
	}
	servers[7].Running = 24
	for i := range senders {
		c := NewChooser(rand.New(rand.NewPCG(uint64(i), 9)), NewEjector(), NewPrefixIndex())
		question := Job{Zone: "z", Urgency: 0, Target: 250 * time.Millisecond, Tokens: 800, Unseen: senders - 1}
		if choice := c.Choose(testStart, question, servers, nil); choice.InTime {
			sent++
		}
	}
	if sent < 1 || sent > 10 {
		t.Errorf("%d of %d senders send to the one server with four slots left", sent, senders)
	}
	// A sender alone takes them.
	question := Job{Zone: "z", Urgency: 0, Target: 250 * time.Millisecond, Tokens: 800}
	if choice := newTestChooser().Choose(testStart, question, servers, nil); choice.At != 7 || !choice.InTime {
		t.Errorf("choice %+v, 7 has slots left", choice)
	}
}

func TestSendRateForgets(t *testing.T) {
	var r SendRate
	for i := range 100 {
		r.Sent(testStart.Add(time.Duration(i)*10*time.Millisecond), 3, 50)
	}
	if got, tokens := r.Within(testStart.Add(time.Second), 100*time.Millisecond, 3); got < 8 || got > 11 || math.Abs(tokens-50*got) > 1 {
		t.Errorf("%v requests with %v tokens expected in 100 ms of 100 a second with 50 each", got, tokens)
	}
	if got, tokens := r.Within(testStart.Add(4*time.Second), 100*time.Millisecond, 2); got > 0.1 || tokens != 0 {
		t.Errorf("%v requests expected three seconds after the last", got)
	}
}

// A service whose servers have all gone leaves no choice.
func TestNoServersAtAll(t *testing.T) {
	c := newTestChooser()
	for _, job := range []Job{summary(5), {Zone: "z"}} {
		if choice := c.Choose(testStart, job, nil, nil); choice.Found || choice.InTime {
			t.Errorf("chose %+v of nothing", choice)
		}
	}
}
