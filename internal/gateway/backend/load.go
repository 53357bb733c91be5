package backend

import (
	"sync"

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
	// mu guards counts; nothing is locked while it is held.
	mu     sync.Mutex
	counts Counts
}

// Counts returns the counts.
func (l *Load) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Enter counts a request that was sent, with the tokens that the server is
// expected to read for it.
func (l *Load) Enter(urgency, tokens int) *Stay {
	l.add(urgency, 1, tokens, 0)
	return &Stay{load: l, urgency: urgency, tokens: tokens}
}

func (l *Load) add(urgency, pending, tokens, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Pending[urgency].Requests += pending
	l.counts.Pending[urgency].Tokens += tokens
	l.counts.Running += running
}

// Stay is one request's part of a Load. It is used by one goroutine.
type Stay struct {
	load            *Load
	urgency, tokens int
	running         bool
}

// Begun notes that the answer has begun; it reports whether that is news.
func (s *Stay) Begun() bool {
	if s.running {
		return false
	}
	s.running = true
	s.load.add(s.urgency, -1, -s.tokens, 1)
	return true
}

// Leave ends the stay.
func (s *Stay) Leave() {
	s.Begun()
	s.load.add(s.urgency, 0, 0, -1)
}
