package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against waiting at a busy server because it has a segment cached: another server must
// fetch the segment from it, or prefill it if servers can't fetch.
func TestSegmentOfBusyServerIsFetched(t *testing.T) {
	for _, fetchRate := range []float64{0, 600} {
		c, servers := newTestChooser(), idleServers(8)
		job := summaryJob(77)
		job.FetchRate = fetchRate
		holder := c.Choose(testStart, job, servers, nil).Index
		c.index.RecordPrefilled(testStart, KeyOf(servers[holder].Name), job.SharedSegments)
		servers[holder].Pending[4].Requests, servers[holder].Pending[4].Tokens = 8, 40_000
		choice := c.Choose(testStart, job, servers, nil)
		if !choice.InTime || choice.Index == holder || choice.Fetches != (fetchRate > 0) {
			t.Fatalf("at a fetch rate of %v: %+v, holder %d", fetchRate, choice, holder)
		}
		if fetchRate > 0 && (choice.FetchFrom != holder || choice.PrefillTokens > 5000) {
			t.Errorf("fetches from %d and prefills %d tokens, the holder is %d", choice.FetchFrom, choice.PrefillTokens, holder)
		}
	}
}

// Guards against fetching from a server that is draining, backed off or ejected, or whose cache is empty
// after a restart.
func TestNothingIsFetchedFromUnusableServers(t *testing.T) {
	faults := map[string]func(c *Chooser, s *Server){
		"draining":   func(_ *Chooser, s *Server) { s.Draining = true },
		"backed off": func(_ *Chooser, s *Server) { s.BackoffLeft = time.Second },
		"ejected": func(c *Chooser, s *Server) {
			for range ejectAfterFailures {
				c.ejector.Observe(testStart, s.Name, OutcomeFailed)
			}
		},
		"restarted": func(c *Chooser, s *Server) { c.index.RemoveServer(KeyOf(s.Name)) },
	}
	for name, inject := range faults {
		c, servers := newTestChooser(), idleServers(8)
		job := summaryJob(77)
		job.FetchRate = 600
		holder := c.Choose(testStart, job, servers, nil).Index
		c.index.RecordPrefilled(testStart, KeyOf(servers[holder].Name), job.SharedSegments)
		inject(c, &servers[holder])
		if choice := c.Choose(testStart, job, servers, nil); choice.Fetches {
			t.Errorf("fetches from a server that is %s: %+v", name, choice)
		}
	}
}

// Guards against fetching KV cache from a server of another software version, where one of the same
// version may have less of the prefix, or nothing.
func TestSegmentsAreFetchedWithinOneVersion(t *testing.T) {
	c, servers := newTestChooser(), idleServers(8)
	for i := range servers {
		servers[i].Version = KeyOf("v1")
	}
	job := summaryJob(77)
	job.FetchRate = 600
	holder := c.Choose(testStart, job, servers, nil).Index
	c.index.RecordPrefilled(testStart, KeyOf(servers[holder].Name), job.SharedSegments)
	servers[holder].Pending[4].Requests, servers[holder].Pending[4].Tokens = 8, 40_000
	if choice := c.Choose(testStart, job, servers, nil); !choice.Fetches || choice.FetchFrom != holder {
		t.Fatalf("one version: got %+v", choice)
	}
	servers[holder].Version = KeyOf("v2")
	for range 50 {
		if choice := c.Choose(testStart, job, servers, nil); choice.Fetches && servers[choice.FetchFrom].Version != servers[choice.Index].Version {
			t.Fatalf("server %d fetches from %d of another version", choice.Index, choice.FetchFrom)
		}
	}
	other := (holder + 1) % len(servers)
	c.index.RecordPrefilled(testStart, KeyOf(servers[other].Name), job.SharedSegments)
	servers[other].Pending[4].Requests, servers[other].Pending[4].Tokens = 8, 40_000
	if choice := c.Choose(testStart, job, servers, nil); !choice.Fetches || choice.FetchFrom != other {
		t.Errorf("a source of each version: got %+v, want a fetch from %d", choice, other)
	}
}

// Short segments are prefilled faster than they are fetched.
func TestShortSegmentsArePrefilled(t *testing.T) {
	c, servers := newTestChooser(), idleServers(8)
	job := Job{Zone: "z", Urgency: 4, Target: time.Second, Tokens: 1500, SharedSegments: []PrefixSegment{{ID: 5, End: minFetchTokens - 1}}, FetchRate: 600}
	holder := c.Choose(testStart, job, servers, nil).Index
	c.index.RecordPrefilled(testStart, KeyOf(servers[holder].Name), job.SharedSegments)
	servers[holder].Pending[4].Tokens = 60_000
	if choice := c.Choose(testStart, job, servers, nil); choice.Fetches || choice.Index == holder {
		t.Errorf("a segment of %d tokens isn't prefilled at another server than %d, which has it: %+v", minFetchTokens-1, holder, choice)
	}
}

// Guards against all gateways sending to the last server that is in time, which all of them
// see: only some of them may.
func TestGatewaysShareTheLastServerInTime(t *testing.T) {
	const gateways = 30
	sent := 0
	servers := idleServers(20)
	for i := range servers {
		servers[i].Pending[4].Requests, servers[i].Pending[4].Tokens = 8, 60_000
	}
	servers[7].Pending = PendingWork{}
	for i := range gateways {
		c := NewChooser(rand.New(rand.NewPCG(uint64(i), 9)), NewEjector(), NewPrefixIndex())
		job := Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 3000}
		job.UnreportedTokens, job.ReportAge = 3000*(gateways-1), 50*time.Millisecond
		if choice := c.Choose(testStart, job, servers, nil); choice.InTime {
			sent++
		}
	}
	if sent < 1 || sent > 10 {
		t.Errorf("%d of %d gateways send to the one server in time, which prefills three prompts within the target", sent, gateways)
	}
}

// Guards against refusing requests for lack of time when only slots are short: the prompts
// that other gateways send are divided among all servers that have time, and not only among
// the few that have free slots.
func TestSlotShortageIsNoTimeShortage(t *testing.T) {
	servers := idleServers(20)
	for i := range servers {
		servers[i].Running = 32
	}
	servers[7].Running = 4
	for i := range 30 {
		c := NewChooser(rand.New(rand.NewPCG(uint64(i), 9)), NewEjector(), NewPrefixIndex())
		job := Job{Zone: "z", Urgency: 0, Target: 300 * time.Millisecond, Tokens: 800}
		job.UnreportedTokens, job.ReportAge = 20_000, 50*time.Millisecond
		if choice := c.Choose(testStart, job, servers, nil); !choice.InTime || choice.Index != 7 {
			t.Fatalf("gateway %d: %+v, 7 has slots and time", i, choice)
		}
	}
}
