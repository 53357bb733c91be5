package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// zonedServers returns servers of three zones with random loads.
func zonedServers(random *rand.Rand) []Server {
	servers := idleServers(12)
	for i := range servers {
		servers[i].Zone = string(rune('a' + i%3))
		servers[i].Running = random.IntN(40)
		servers[i].Pending[4].Requests = random.IntN(4)
		servers[i].Pending[4].Tokens = servers[i].Pending[4].Requests * random.IntN(16_000)
	}
	return servers
}

// randomJob returns a job with or without a shared prefix, of a gateway in zone a.
func randomJob(random *rand.Rand) Job {
	job := Job{Zone: "a", Urgency: 4, Target: 600 * time.Millisecond, Tokens: 500 + random.IntN(9000), UnreportedTokens: 20_000 * random.Float64(), UnreportedRequests: 20 * random.Float64(), ReportAge: 50 * time.Millisecond}
	if random.IntN(2) == 0 {
		job = summaryJob(uint64(1 + random.IntN(5)))
		job.Zone = "a"
	}
	return job
}

// Guards against choices that differ from those of earlier releases where no price is set: without a
// planned zone the choice, and what is drawn for it, are those of chooseFrom among the same servers.
func TestChoiceWithoutPlanIsUnchanged(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	c, before := newTestChooser(), newTestChooser()
	usable := func(s *Server) bool { return s.takesRequests() && !s.OverLimit }
	for range 2000 {
		servers, job := zonedServers(random), randomJob(random)
		got, want := c.Choose(testStart, job, servers, nil), before.chooseFrom(testStart, job, servers, nil, usable)
		if got != want {
			t.Fatalf("chose %+v, without package zonerouting %+v", got, want)
		}
		c.index.RecordPrefilled(testStart, KeyOf(servers[got.Index].Name), job.SharedSegments)
		before.index.RecordPrefilled(testStart, KeyOf(servers[got.Index].Name), job.SharedSegments)
	}
	if c.random.Uint64() != before.random.Uint64() {
		t.Error("a different number of random draws")
	}
}

// Guards against requests that are refused because of the plan: whatever zone it assigns, at least as
// many are admitted as without one.
func TestPlanDoesNotReduceAdmission(t *testing.T) {
	admitted := func(zone string, crossingCost time.Duration) int {
		random := rand.New(rand.NewPCG(7, 8))
		c, count := newTestChooser(), 0
		for range 4000 {
			servers, job := zonedServers(random), randomJob(random)
			for i := range servers {
				servers[i].Running = 26 + random.IntN(8)
			}
			job.PlannedZone, job.CrossingCost = zone, crossingCost
			if c.Choose(testStart, job, servers, nil).InTime {
				count++
			}
		}
		return count
	}
	without := admitted("", 0)
	for _, zone := range []string{"a", "b", "no such zone"} {
		// Random draws differ between the runs.
		if with := admitted(zone, time.Second); float64(with) < 0.99*float64(without) {
			t.Errorf("%d admitted with planned zone %q, %d without a plan", with, zone, without)
		}
	}
}

// Guards against a plan that isn't followed, and against one that is followed where the planned zone
// can't serve the request in time.
func TestRequestsStayInPlannedZone(t *testing.T) {
	c, servers := newTestChooser(), idleServers(9)
	for i := range servers {
		servers[i].Zone = string(rune('a' + i%3))
	}
	job := Job{Zone: "a", PlannedZone: "b", Urgency: 4, Target: 600 * time.Millisecond, Tokens: 2000}
	for range 50 {
		if choice := c.Choose(testStart, job, servers, nil); servers[choice.Index].Zone != "b" {
			t.Fatalf("chose %s in zone %s", servers[choice.Index].Name, servers[choice.Index].Zone)
		}
	}
	for i := range servers {
		if servers[i].Zone == "b" {
			servers[i].Pending[4].Requests, servers[i].Pending[4].Tokens = 5, 60_000
		}
	}
	if choice := c.Choose(testStart, job, servers, nil); !choice.InTime || servers[choice.Index].Zone == "b" {
		t.Errorf("choice %+v, zone b is full", choice)
	}
}

// Guards against zones that each prefill a rare prefix, and against a frequent prefix that is never
// copied: crossings cost as much as the prefill before the planned zone gets its copy.
func TestPrefixIsCopiedWhenCrossingsCostAsMuch(t *testing.T) {
	for _, crossingCost := range []time.Duration{0, 15 * time.Millisecond, time.Hour} {
		crossings, plays := 0, 100
		for play := range plays {
			c := NewChooser(rand.New(rand.NewPCG(uint64(play), 2)), NewEjector(), NewPrefixIndex())
			servers := idleServers(6)
			for i := range servers {
				servers[i].Zone = string(rune('a' + i%2))
			}
			job := summaryJob(77)
			job.Zone, job.PlannedZone, job.CrossingCost = "a", "a", crossingCost
			c.index.RecordPrefilled(testStart, KeyOf(servers[1].Name), job.SharedSegments)
			for range 40 {
				if choice := c.Choose(testStart, job, servers, nil); servers[choice.Index].Zone == "a" {
					break
				}
				crossings++
			}
		}
		mean := float64(crossings) / float64(plays)
		// At 15 ms a crossing costs 600 tokens, a tenth of the prefix.
		if crossingCost == 0 && mean < 40 || crossingCost == time.Hour && mean > 0 || crossingCost == 15*time.Millisecond && (mean < 6 || mean > 12) {
			t.Errorf("%.1f crossings at a cost of %v before the prefix is copied", mean, crossingCost)
		}
	}
}

// Guards against protected requests and prefixes that no server has, which are prefilled wherever they
// run, that leave their planned zone although its servers are idle and a crossing is dear.
func TestPlannedZoneIsKeptWhileIdle(t *testing.T) {
	c, servers := newTestChooser(), idleServers(12)
	for i := range servers {
		servers[i].Zone, servers[i].Reserved = string(rune('a'+i%3)), i < 6
	}
	for i := range 300 {
		protected := questionJob()
		fresh := summaryJob(uint64(1000 + i))
		for _, job := range []Job{protected, fresh} {
			job.Zone, job.PlannedZone, job.CrossingCost = "a", "a", time.Second
			if job.Tokens == fresh.Tokens {
				job.CrossingCost = 2 * time.Millisecond
			}
			if choice := c.Choose(testStart, job, servers, nil); !choice.InTime || servers[choice.Index].Zone != "a" {
				t.Fatalf("job %d with %d tokens: choice %+v in zone %s", i, job.Tokens, choice, servers[choice.Index].Zone)
			}
		}
	}
}
