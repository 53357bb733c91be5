package agent

import (
	"sync"
	"time"

	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

const (
	// grantTTL is how long a grant may be taken up. Entries answer in a round
	// trip between availability zones (3 ms) or regions (some 100 ms); an
	// entry that takes longer is paused, and the slot must not wait for it.
	grantTTL = time.Second
	// grantMemory is how long a used grant is remembered, to answer Void.
	grantMemory = 15 * time.Minute
	// wakeAtLeast bounds how long the scheduler may go unasked.
	wakeAtLeast = 250 * time.Millisecond
)

// table holds an agent's tickets, grants and runs and asks the policy what
// comes next. Lock order: table.mu before a session's connection, whose Send
// never blocks.
type table struct {
	incarnation string
	ring        *timeline.Ring
	holder      *targets.Holder
	queue       *metrics.Queue

	mu       sync.Mutex
	sched    *policy.Scheduler
	tickets  map[string]*ticket
	grants   grants
	sessions map[*session]struct{}
	joined   uint64
	grantSeq uint64
	leaving  bool
	engineUp bool
	// serves is the model or service that is served now; switching says that
	// the engine is about to load another.
	serves    string
	switching bool

	// wake tells keepTime that the next decision may be due sooner.
	wake      chan struct{}
	drainOnce sync.Once
	drained   chan struct{}
}

func newTable(incarnation, serves string, ring *timeline.Ring, holder *targets.Holder, queue *metrics.Queue) *table {
	return &table{
		incarnation: incarnation,
		serves:      serves,
		ring:        ring,
		holder:      holder,
		queue:       queue,
		sched:       policy.NewScheduler(),
		tickets:     make(map[string]*ticket),
		grants:      newGrants(),
		sessions:    make(map[*session]struct{}),
		drained:     make(chan struct{}),
		wake:        make(chan struct{}, 1),
	}
}

// join adds an entry's session and greets it.
func (tb *table) join(s *session, hello func(serves string) *wire.Hello) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.joined++
	s.joined = tb.joined
	tb.sessions[s] = struct{}{}
	s.send(wire.Message{Hello: hello(tb.serves), Status: tb.status(0)})
}

// part removes a session with the tickets that wait for it: the entry places
// them anew, so none may stay behind.
func (tb *table) part(s *session) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	delete(tb.sessions, s)
	for id, t := range tb.tickets {
		if t.session == s {
			tb.sched.Withdraw(id)
			delete(tb.tickets, id)
		}
	}
}

func (tb *table) broadcast(m wire.Message) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.tell(m)
}

func (tb *table) tell(m wire.Message) {
	for s := range tb.sessions {
		s.send(m)
	}
}

// closeSessions ends the control connections of a drained agent.
func (tb *table) closeSessions() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for s := range tb.sessions {
		s.conn.End()
	}
}
