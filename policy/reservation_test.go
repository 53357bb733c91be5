package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// questionJob returns a protected job with a short prompt, and documentJob one with a long prompt
// that is bound by reservations.
func questionJob() Job {
	return Job{Zone: "z", Urgency: 3, Target: 400 * time.Millisecond, Tokens: 700, Protected: true}
}

func documentJob() Job {
	return Job{Zone: "z", Urgency: 4, Target: 800 * time.Millisecond, Tokens: 3000, BoundByReservation: true}
}

// reservedServers returns n idle servers, of which the given ones are reserved with a budget.
func reservedServers(n int, budget float64, reserved ...int) []Server {
	servers := idleServers(n)
	for _, i := range reserved {
		servers[i].Reserved, servers[i].PrefillBudget = true, budget
	}
	return servers
}

// Guards against protected streams among long prompts while reserved servers have room, and against
// their refusal when only other servers have room.
func TestProtectedJobPrefersReservedServers(t *testing.T) {
	c, servers := newTestChooser(), reservedServers(10, 4000, 2, 7)
	servers[2].Running, servers[7].Running = 10, 10
	for range 100 {
		if choice := c.Choose(testStart, questionJob(), servers, nil); !choice.InTime || !servers[choice.Index].Reserved {
			t.Fatalf("choice %+v, servers 2 and 7 are reserved and in time", choice)
		}
	}
	servers[2].Running, servers[7].Running = 32, 32
	for range 100 {
		if choice := c.Choose(testStart, questionJob(), servers, nil); !choice.InTime || servers[choice.Index].Reserved {
			t.Fatalf("choice %+v, the reserved servers are full and the others idle", choice)
		}
	}
}

// Guards against reserved servers that are used although they take no requests, and against an
// answer that all servers are busy while others are idle.
func TestUnusableReservedServersAreNotChosen(t *testing.T) {
	unusable := map[string]func(c *Chooser, job *Job, s *Server){
		"draining":     func(_ *Chooser, _ *Job, s *Server) { s.Draining = true },
		"backed off":   func(_ *Chooser, _ *Job, s *Server) { s.BackoffLeft = time.Second },
		"over limit":   func(_ *Chooser, _ *Job, s *Server) { s.RateLimited, s.OverLimit = true, true },
		"unresponsive": func(_ *Chooser, _ *Job, s *Server) { s.Unresponsive = true },
		"tried":        func(_ *Chooser, job *Job, s *Server) { job.Tried = append(job.Tried, s.Name) },
		"version":      func(_ *Chooser, job *Job, s *Server) { job.Bound, job.Version, s.Version = true, 1, 2 },
	}
	for name, exclude := range unusable {
		t.Run(name, func(t *testing.T) {
			c, servers, job := newTestChooser(), reservedServers(10, 4000, 2, 7), questionJob()
			for i := range servers {
				servers[i].Version = 1
			}
			exclude(c, &job, &servers[2])
			exclude(c, &job, &servers[7])
			for range 50 {
				if choice := c.Choose(testStart, job, servers, nil); !choice.InTime || servers[choice.Index].Reserved {
					t.Fatalf("choice %+v, both reserved servers are unusable", choice)
				}
			}
		})
	}
}

// Guards against a panic mode that is confined to a few reserved servers, all of which may fail.
func TestPanicIgnoresReservedServers(t *testing.T) {
	c, servers := newTestChooser(), reservedServers(10, 4000, 2, 7)
	for i := range 7 {
		servers[i].Unresponsive = true
	}
	servers[7].Unresponsive = true
	others := 0
	for range 200 {
		if choice := c.Choose(testStart, questionJob(), servers, nil); !servers[choice.Index].Reserved {
			others++
		}
	}
	if others < 100 {
		t.Errorf("%d of 200 jobs went to the 8 servers that aren't reserved, with 8 of 10 servers failing", others)
	}
}

// Guards against long prefills that stall the streams of a reserved server. Tokens count that wait
// at any urgency.
func TestBoundJobRespectsBudget(t *testing.T) {
	servers := reservedServers(2, 5000, 0, 1)
	servers[1].Draining = true
	for name, test := range map[string]struct {
		waiting, urgency int
		inTime           bool
	}{
		"within":              {2000, 4, true},
		"over":                {2001, 4, false},
		"over, more urgent":   {2001, 0, false},
		"over, less urgent":   {2001, 9, false},
		"within, less urgent": {2000, 9, true},
		"over without it":     {5001, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			servers[0].Pending = PendingWork{}
			servers[0].Pending[test.urgency].Tokens = test.waiting
			choice := newTestChooser().Choose(testStart, documentJob(), servers, nil)
			if !choice.Found || choice.InTime != test.inTime {
				t.Errorf("choice %+v, want in time: %v", choice, test.inTime)
			}
			if choice.SlotLimited {
				t.Error("a budget counts as a lack of slots, which would raise the headroom")
			}
			for what, free := range map[string]func(*Job){
				"not bound":           func(j *Job) { j.BoundByReservation = false },
				"continues a stream":  func(j *Job) { j.Bound, j.Version = true, 1 },
				"without a prompt":    func(j *Job) { j.Tokens = 0 },
				"protected, not long": func(j *Job) { j.BoundByReservation, j.Protected = false, true },
			} {
				job := documentJob()
				free(&job)
				servers[0].Version = 1
				if choice := newTestChooser().Choose(testStart, job, servers, nil); !choice.InTime {
					t.Errorf("%s: choice %+v, the budget doesn't apply", what, choice)
				}
			}
		})
	}
}

// Guards against a request that was sent before, and therefore is sent again even if late, at a
// server over its budget while another one takes it.
func TestServersOverBudgetAreTheLastChoice(t *testing.T) {
	c, servers := newTestChooser(), reservedServers(4, 1000, 0, 1, 2)
	servers[3].Running, servers[3].Pending[4].Tokens = 32, 200_000
	for range 100 {
		if choice := c.Choose(testStart, documentJob(), servers, nil); choice.Index != 3 || choice.InTime {
			t.Fatalf("choice %+v, want server 3, late", choice)
		}
	}
	servers[3].Draining = true
	if choice := c.Choose(testStart, documentJob(), servers, nil); !choice.Found || choice.InTime {
		t.Errorf("choice %+v, want a server that is over its budget, not in time", choice)
	}
}

// Guards against any effect on services without reserved servers: the choices, and the random
// numbers drawn for them, must be those of a chooser that knows of no reservations.
func TestNoReservationChangesNoChoice(t *testing.T) {
	jobs := rand.New(rand.NewPCG(5, 6))
	newChooser := func() *Chooser { return NewChooser(rand.New(rand.NewPCG(1, 2)), NewEjector(), NewPrefixIndex()) }
	plain, aware := newChooser(), newChooser()
	servers := idleServers(20)
	for n := range 2000 {
		s := &servers[jobs.IntN(len(servers))]
		s.Running, s.Pending[4].Tokens, s.Draining, s.Unresponsive = jobs.IntN(33), jobs.IntN(60_000), jobs.IntN(10) == 0, jobs.IntN(3) == 0
		job := Job{
			Zone: "z", Urgency: 3 + jobs.IntN(2), Target: time.Duration(jobs.IntN(1000)) * time.Millisecond, Tokens: jobs.IntN(12_000),
			UnreportedRequests: 20 * jobs.Float64(), UnreportedTokens: 20_000 * jobs.Float64(), ReportAge: 50 * time.Millisecond,
		}
		if jobs.IntN(2) == 0 {
			job.SharedSegments = []PrefixSegment{{ID: uint64(1 + jobs.IntN(50)), End: job.Tokens / 2}}
		}
		want := plain.Choose(testStart, job, servers, nil)
		job.Protected, job.BoundByReservation = jobs.IntN(2) == 0, jobs.IntN(2) == 0
		if got := aware.Choose(testStart, job, servers, nil); got != want {
			t.Fatalf("job %d: choice %+v, without reservations %+v", n, got, want)
		}
		if want.Found && len(job.SharedSegments) > 0 {
			for _, c := range []*Chooser{plain, aware} {
				c.index.RecordPrefilled(testStart, KeyOf(servers[want.Index].Name), job.SharedSegments)
			}
		}
	}
}

// Guards against reserved servers that seem full since all unreported requests of other gateways
// count as sent there, though most are sent to other servers.
func TestOnlyProtectedUnreportedRequestsFillReservedServers(t *testing.T) {
	c, servers := newTestChooser(), reservedServers(30, 4000, 2, 7)
	servers[2].Running, servers[7].Running = 20, 20
	job := questionJob()
	job.UnreportedRequests, job.UnreportedProtected = 60, 8
	for range 100 {
		if choice := c.Choose(testStart, job, servers, nil); !choice.InTime || !servers[choice.Index].Reserved {
			t.Fatalf("choice %+v, 10 slots are free at each reserved server for 4 unreported requests", choice)
		}
	}
}

// Guards against long prompts that wait at one server until the streams of their own class pause for
// too long, and against a bound that ignores the server's speed.
func TestWaitingTokensAreBounded(t *testing.T) {
	choose := func(slowdown float64, waiting int) Choice {
		c, servers := newTestChooser(), idleServers(3)
		for i := range servers {
			servers[i].Slowdown = slowdown
			servers[i].Pending[4].Requests, servers[i].Pending[4].Tokens = 1, waiting
		}
		job := documentJob()
		job.MaxWaitingTokens = 12_000
		return c.Choose(testStart, job, servers, nil)
	}
	for _, test := range []struct {
		slowdown float64
		waiting  int
		inTime   bool
	}{{1, 8900, true}, {1, 9100, false}, {0.5, 9100, true}, {1.2, 6900, true}, {1.2, 7100, false}} {
		if choice := choose(test.slowdown, test.waiting); !choice.Found || choice.InTime != test.inTime {
			t.Errorf("with %d tokens waiting at a slowdown of %.1f: choice %+v, in time should be %v", test.waiting, test.slowdown, choice, test.inTime)
		}
	}
}

// Guards against the longest prompts of a class finding no server at all: they are judged by the mean
// length of the class, but not at reserved servers.
func TestLongestPromptsFindServers(t *testing.T) {
	c, servers := newTestChooser(), reservedServers(10, 4000, 2, 7)
	job := documentJob()
	job.Tokens, job.MeanTokens, job.MaxWaitingTokens = 30_000, 3000, 12_000
	for range 100 {
		if choice := c.Choose(testStart, job, servers, nil); !choice.InTime || servers[choice.Index].Reserved {
			t.Fatalf("choice %+v, eight idle servers aren't reserved", choice)
		}
	}
}
