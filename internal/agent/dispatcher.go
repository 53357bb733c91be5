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
	// grantTTL is the time within which a grant must be used. An entry
	// responds within a round trip between availability zones (3 ms) or
	// regions (about 100 ms). One that takes longer is paused, and its grant
	// must not keep the slot.
	grantTTL = time.Second
	// grantRetention is how long a finished grant is kept, so that Void
	// messages for it can be answered.
	grantRetention = 15 * time.Minute
	// maxWakeInterval bounds the time between two calls of the scheduler.
	maxWakeInterval = 250 * time.Millisecond
)

// dispatcher holds an agent's tickets, grants and runs and issues grants in the
// order that the policy's scheduler decides. Lock order: dispatcher.mu is
// acquired before the lock of a session's connection, whose Send never blocks.
type dispatcher struct {
	instance     string
	events       *timeline.Ring
	targets      *targets.Cache
	queueMetrics *metrics.Queue

	mu         sync.Mutex
	scheduler  *policy.Scheduler
	tickets    map[string]*ticket
	grants     grantStore
	sessions   map[*session]struct{}
	sessionSeq uint64
	grantSeq   uint64
	draining   bool
	backendUp  bool
	// softwareVersion is the version that the engine last reported.
	softwareVersion string
	// served is the model or service that is served now; switching is set
	// while the engine loads another model.
	served    string
	switching bool

	// wake tells runTimers that the next decision may be due earlier.
	wake chan struct{}
	// drained is closed, by drainOnce, when the agent is draining and no grant is
	// issued or running.
	drainOnce sync.Once
	drained   chan struct{}
}

func newDispatcher(instance, served string, events *timeline.Ring, targetCache *targets.Cache, queueMetrics *metrics.Queue) *dispatcher {
	return &dispatcher{
		instance:     instance,
		served:       served,
		events:       events,
		targets:      targetCache,
		queueMetrics: queueMetrics,
		scheduler:    policy.NewScheduler(),
		tickets:      make(map[string]*ticket),
		grants:       newGrantStore(),
		sessions:     make(map[*session]struct{}),
		drained:      make(chan struct{}),
		wake:         make(chan struct{}, 1),
	}
}

// addSession adds an entry's session and sends it a Hello and the status.
func (d *dispatcher) addSession(s *session, newHello func(served string) *wire.Hello) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sessionSeq++
	s.seq = d.sessionSeq
	d.sessions[s] = struct{}{}
	s.send(wire.Message{Hello: newHello(d.served), Status: d.statusLocked(0)})
}

// removeSession removes a session and its waiting tickets, because the entry
// submits them again elsewhere.
func (d *dispatcher) removeSession(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sessions, s)
	for id, t := range d.tickets {
		if t.session == s {
			d.scheduler.Withdraw(id)
			delete(d.tickets, id)
		}
	}
}

func (d *dispatcher) broadcast(m wire.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broadcastLocked(m)
}

// broadcastLocked sends m to all sessions. Called with mu held.
func (d *dispatcher) broadcastLocked(m wire.Message) {
	for s := range d.sessions {
		s.send(m)
	}
}

// closeSessions closes the control connections of a drained agent.
func (d *dispatcher) closeSessions() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.sessions {
		s.conn.CloseNow()
	}
}
