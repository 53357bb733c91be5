package backend

import (
	"sync"
	"time"

	"github.com/applepier/applepier/policy"
)

// Counts holds how many requests and prompt tokens one or more gateways have in flight at a
// backend server.
type Counts struct {
	// Running is the number of requests whose first response byte has arrived.
	Running int
	// Pending holds the requests still waiting for their first response byte, by urgency.
	Pending policy.PendingWork
}

// Add adds other to c, or subtracts it if sign is -1.
func (c *Counts) Add(other *Counts, sign int) {
	c.Running += sign * other.Running
	for i := range c.Pending {
		c.Pending[i].Requests += sign * other.Pending[i].Requests
		c.Pending[i].Tokens += sign * other.Pending[i].Tokens
	}
}

// Load tracks the requests that this process has in flight at one backend server. All methods are
// safe for concurrent use.
type Load struct {
	// mu guards the fields below. No other lock is acquired while it is held.
	mu      sync.Mutex
	running int
	// pending holds the requests whose first response byte has not arrived.
	pending map[*InFlight]struct{}
}

// Counts returns the current counts. For prompts that the server is expected to be prefilling, it
// counts only the tokens expected to remain at now.
func (l *Load) Counts(now time.Time) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Running: l.running}
	for f := range l.pending {
		level := &c.Pending[f.urgency]
		level.Requests++
		level.Tokens += f.plan.Remaining(now)
	}
	return c
}

// Track adds a request that is being sent to the server. The plan says when the server is expected
// to prefill its prompt. The caller must call Finish on the result.
func (l *Load) Track(urgency int, plan policy.PrefillPlan) *InFlight {
	f := &InFlight{load: l, urgency: urgency, plan: plan}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = map[*InFlight]struct{}{}
	}
	l.pending[f] = struct{}{}
	return f
}

// InFlight is one request in a Load. It must be used by one goroutine only.
type InFlight struct {
	load    *Load
	urgency int
	plan    policy.PrefillPlan
	started bool
}

// MarkStarted moves the request from pending to running, because its response has started. It
// reports whether this was the first call.
func (f *InFlight) MarkStarted() bool {
	if f.started {
		return false
	}
	f.started = true
	f.load.mu.Lock()
	defer f.load.mu.Unlock()
	delete(f.load.pending, f)
	f.load.running++
	return true
}

// Finish removes the request from the Load. It must be called exactly once.
func (f *InFlight) Finish() {
	f.MarkStarted()
	f.load.mu.Lock()
	defer f.load.mu.Unlock()
	f.load.running--
}
