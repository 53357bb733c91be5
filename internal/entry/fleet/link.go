package fleet

import (
	"sync"
	"time"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/wire"
)

// link is this entry's connection to one agent. It dials again by itself.
// Lock order: link.mu is a leaf but for the connection, whose Send never
// blocks; listeners are called without it.
type link struct {
	fleet *Fleet
	// name is the VM's, which never changes; the rest of its row may.
	name string

	mu       sync.Mutex
	vm       storage.VM
	conn     *wire.Conn
	status   wire.Status
	hello    wire.Hello
	seen     time.Time
	targets  uint64
	tickets  waitingTickets
	voids    map[string]chan wire.VoidResult
	liveness liveness
	pingSeq  uint64
	// told is closed with the next Status; nil when nobody waits for it.
	told chan struct{}
}

func newLink(f *Fleet, vm storage.VM) *link {
	return &link{
		fleet:   f,
		name:    vm.Name,
		vm:      vm,
		tickets: newWaitingTickets(),
		voids:   make(map[string]chan wire.VoidResult),
	}
}

// watch says how closely to look at the connection; the lock is held.
func (l *link) watch() watch {
	switch {
	case l.tickets.urgent > 0 || len(l.voids) > 0:
		return watchUrgent
	case l.tickets.count() > 0:
		return watchWaiting
	default:
		return watchIdle
	}
}

func (l *link) handle(m wire.Message) {
	l.mu.Lock()
	l.seen = time.Now()
	l.liveness.noteSeen(l.seen)
	l.targets = m.Targets
	if m.Status != nil {
		l.noteStatus(*m.Status)
	}
	if m.Hello != nil {
		l.hello = *m.Hello
	}
	l.mu.Unlock()
	l.compareTargets(m)
	switch {
	case m.Grant != nil:
		l.granted(m.Grant)
	case m.Refuse != nil:
		l.refused(m.Refuse)
	case m.Voided != nil:
		l.voided(m.Voided)
	}
}

func (l *link) compareTargets(m wire.Message) {
	holder := l.fleet.config.Holder
	if m.NewSet != nil {
		holder.Offer(m.NewSet)
	}
	if m.WantSet != nil {
		l.send(wire.Message{NewSet: holder.Current()})
		return
	}
	have := holder.Current().Version
	if holder.Ask(m.Targets) {
		l.send(wire.Message{WantSet: &wire.WantSet{}})
	}
	if m.Targets < have && m.WantSet == nil {
		l.send(wire.Message{})
	}
}

// granted hands a grant to its attempt; one that nobody waits for is declined
// at once, so that the engine's slot doesn't wait until it lapses.
func (l *link) granted(g *wire.Grant) {
	listener, ok := l.takeListener(attemptKey{g.Request, g.Attempt})
	if !ok || !listener.Granted(l.name, g.ID) {
		l.send(wire.Message{Withdraw: &wire.Withdraw{Request: g.Request, Attempt: g.Attempt}})
	}
}

func (l *link) refused(r *wire.Refuse) {
	listener, ok := l.takeListener(attemptKey{r.Request, r.Attempt})
	if ok {
		listener.Refused(l.name, r.Reason, time.Duration(r.RetryAfterMS)*time.Millisecond)
	}
}

func (l *link) takeListener(key attemptKey) (Listener, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tickets.take(key)
}

// place sends a ticket; false means that this agent has no connection now.
func (l *link) place(t *wire.Ticket, listener Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return false
	}
	key := attemptKey{t.Request, t.Attempt}
	l.tickets.add(key, t.Tier, listener)
	if err := l.conn.Send(wire.Message{Ticket: t}); err != nil {
		l.tickets.take(key)
		return false
	}
	l.liveness.noteTicket(time.Now())
	return true
}

// withdraw takes a ticket back.
func (l *link) withdraw(request string, attempt int) {
	if _, ok := l.takeListener(attemptKey{request, attempt}); ok {
		l.send(wire.Message{Withdraw: &wire.Withdraw{Request: request, Attempt: attempt}})
	}
}

func (l *link) send(m wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Send(m)
		l.liveness.noteSent(time.Now())
	}
}
