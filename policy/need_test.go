package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A part that one server holds is fetched from it when that server is too busy,
// and read where servers can't fetch.
func TestBusyHoldersPartIsFetched(t *testing.T) {
	for _, fetchRate := range []float64{0, 600} {
		c, servers := newTestChooser(), serversOf(8)
		job := summary(77)
		job.FetchRate = fetchRate
		holder := c.Choose(testStart, job, servers, nil).At
		c.index.Read(testStart, KeyOf(servers[holder].Name), job.Shared)
		servers[holder].Pending[4].Requests, servers[holder].Pending[4].Tokens = 8, 40_000
		choice := c.Choose(testStart, job, servers, nil)
		if !choice.InTime || choice.At == holder || choice.Fetches != (fetchRate > 0) {
			t.Fatalf("at a fetch rate of %v: %+v, holder %d", fetchRate, choice, holder)
		}
		if fetchRate > 0 && (choice.From != holder || choice.Prefill > 5000) {
			t.Errorf("fetches from %d and reads %d, the holder is %d", choice.From, choice.Prefill, holder)
		}
	}
}

// What left, was ejected or started anew is no source.
func TestNothingIsFetchedFromUnusableServers(t *testing.T) {
	spoil := map[string]func(c *Chooser, s *Server){
		"leaving": func(_ *Chooser, s *Server) { s.Leaving = true },
		"ejected": func(c *Chooser, s *Server) {
			for range ejectAfter {
				c.ejector.Observe(testStart, s.Name, OutcomeFailed)
			}
		},
		"started anew": func(c *Chooser, s *Server) { c.index.Forget(KeyOf(s.Name)) },
	}
	for name, spoil := range spoil {
		c, servers := newTestChooser(), serversOf(8)
		job := summary(77)
		job.FetchRate = 600
		holder := c.Choose(testStart, job, servers, nil).At
		c.index.Read(testStart, KeyOf(servers[holder].Name), job.Shared)
		spoil(c, &servers[holder])
		if choice := c.Choose(testStart, job, servers, nil); choice.Fetches {
			t.Errorf("%s: %+v", name, choice)
		}
	}
}

// Short parts are read sooner than they are fetched.
func TestShortPartsAreRead(t *testing.T) {
	c, servers := newTestChooser(), serversOf(8)
	job := Job{Zone: "z", Urgency: 4, Target: time.Second, Tokens: 1500, Shared: []Part{{ID: 5, Upto: minFetchTokens - 1}}, FetchRate: 600}
	holder := c.Choose(testStart, job, servers, nil).At
	c.index.Read(testStart, KeyOf(servers[holder].Name), job.Shared)
	servers[holder].Pending[4].Tokens = 60_000
	if choice := c.Choose(testStart, job, servers, nil); choice.Fetches || choice.At == holder {
		t.Errorf("%+v, holder %d", choice, holder)
	}
}

// One server in time is so for all senders: each takes its chance of it.
func TestSendersShareTheLastServerInTime(t *testing.T) {
	const senders = 30
	sent := 0
	servers := serversOf(20)
	for i := range servers {
		servers[i].Pending[4].Requests, servers[i].Pending[4].Tokens = 8, 60_000
	}
	servers[7].Pending = Ahead{}
	for i := range senders {
		c := NewChooser(rand.New(rand.NewPCG(uint64(i), 9)), NewEjector(), NewPrefixIndex())
		job := Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 3000}
		job.UnseenTokens, job.NewsAge = 3000*(senders-1), 50*time.Millisecond
		if choice := c.Choose(testStart, job, servers, nil); choice.InTime {
			sent++
		}
	}
	if sent < 1 || sent > 10 {
		t.Errorf("%d of %d senders send to the one server in time, which reads three before the target", sent, senders)
	}
}

// Where slots are what is lacking, the few servers that have some are shared by
// slots alone: the others have time, and what others send isn't read here.
func TestTimeIsNotShortWhereSlotsAre(t *testing.T) {
	servers := serversOf(20)
	for i := range servers {
		servers[i].Running = 32
	}
	servers[7].Running = 4
	for i := range 30 {
		c := NewChooser(rand.New(rand.NewPCG(uint64(i), 9)), NewEjector(), NewPrefixIndex())
		job := Job{Zone: "z", Urgency: 0, Target: 300 * time.Millisecond, Tokens: 800}
		job.UnseenTokens, job.NewsAge = 20_000, 50*time.Millisecond
		if choice := c.Choose(testStart, job, servers, nil); !choice.InTime || choice.At != 7 {
			t.Fatalf("sender %d: %+v, 7 has slots and time", i, choice)
		}
	}
}
