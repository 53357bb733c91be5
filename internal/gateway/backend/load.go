package backend

import (
	"sync"
	"time"

	"github.com/applepier/applepier/policy"
)

// Counts is what a gateway, or several, have at a backend server.
type Counts struct {
	// Running counts requests whose first byte has come.
	Running int
	// Pending is what still waits for it, by urgency.
	Pending policy.Ahead
}

// Add adds other counts, or takes them away where sign is -1.
func (c *Counts) Add(other *Counts, sign int) {
	c.Running += sign * other.Running
	for i := range c.Pending {
		c.Pending[i].Requests += sign * other.Pending[i].Requests
		c.Pending[i].Tokens += sign * other.Pending[i].Tokens
	}
}

// Load counts what this process has at a server. All methods may be called
// concurrently.
type Load struct {
	// mu guards what follows; nothing is locked while it is held.
	mu      sync.Mutex
	running int
	// pending holds the requests whose first byte hasn't come.
	pending map[*Stay]struct{}
}

// Counts returns the counts; of prompts that are being read it counts what is
// expected to be left.
func (l *Load) Counts(now time.Time) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Running: l.running}
	for s := range l.pending {
		level := &c.Pending[s.urgency]
		level.Requests++
		level.Tokens += s.plan.Left(now)
	}
	return c
}

// Enter counts a request that was sent, with when the server is expected to
// read its prompt.
func (l *Load) Enter(urgency int, plan policy.PrefillPlan) *Stay {
	s := &Stay{load: l, urgency: urgency, plan: plan}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = map[*Stay]struct{}{}
	}
	l.pending[s] = struct{}{}
	return s
}

// Stay is one request's part of a Load. It is used by one goroutine.
type Stay struct {
	load    *Load
	urgency int
	plan    policy.PrefillPlan
	begun   bool
}

// Begun notes that the answer has begun; it reports whether that is news.
func (s *Stay) Begun() bool {
	if s.begun {
		return false
	}
	s.begun = true
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	delete(s.load.pending, s)
	s.load.running++
	return true
}

// Leave ends the stay.
func (s *Stay) Leave() {
	s.Begun()
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	s.load.running--
}
