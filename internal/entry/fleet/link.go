package fleet

import (
	"sync"
	"time"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/wire"
)

// link maintains the connection to one agent and redials when it is lost. While
// link.mu is held, no lock other than the connection's is acquired; wire.Conn.Send
// never blocks. Ticket handlers are called without link.mu.
type link struct {
	fleet *Fleet
	// name is the VM's name, which never changes; its other properties may.
	name string

	mu             sync.Mutex
	vm             storage.VM
	conn           *wire.Conn
	status         wire.Status
	hello          wire.Hello
	lastMessageAt  time.Time
	targetsVersion uint64
	pending        pendingTickets
	// pendingVoids holds, by grant, the channels of all goroutines that wait for the
	// response to a Void.
	pendingVoids map[string][]chan wire.VoidResult
	liveness     liveness
	pingSeq      uint64
	// statusUpdated is closed when the next Status arrives; nil if no
	// goroutine waits for one.
	statusUpdated chan struct{}
}

func newLink(f *Fleet, vm storage.VM) *link {
	return &link{
		fleet:        f,
		name:         vm.Name,
		vm:           vm,
		pending:      newPendingTickets(),
		pendingVoids: make(map[string][]chan wire.VoidResult),
	}
}

// currentWatchLevel returns how closely to monitor the connection. The caller
// must hold l.mu.
func (l *link) currentWatchLevel() watchLevel {
	switch {
	case l.pending.urgentCount > 0 || len(l.pendingVoids) > 0:
		return watchUrgent
	case l.pending.count() > 0:
		return watchWaiting
	default:
		return watchIdle
	}
}

// handle processes a message from the agent.
func (l *link) handle(m wire.Message) {
	l.mu.Lock()
	l.lastMessageAt = time.Now()
	l.liveness.messageReceived(l.lastMessageAt)
	l.targetsVersion = m.TargetsVersion
	if m.Status != nil {
		l.storeStatus(*m.Status)
	}
	if m.Hello != nil {
		l.hello = *m.Hello
	}
	l.mu.Unlock()
	l.syncTargets(m)
	switch {
	case m.Grant != nil:
		l.handleGrant(m.Grant)
	case m.Refuse != nil:
		l.handleRefusal(m.Refuse)
	case m.Voided != nil:
		l.handleVoided(m.Voided)
	}
}

// syncTargets keeps the targets of this entry and the agent in sync. It adopts a
// received set if it is newer, sends the current set if the agent requests it,
// requests the agent's set if that is newer, and announces the current version
// if the agent's is older.
func (l *link) syncTargets(m wire.Message) {
	cache := l.fleet.config.Targets
	if m.TargetSet != nil {
		cache.UpdateIfNewer(m.TargetSet)
	}
	if m.GetTargets != nil {
		l.send(wire.Message{TargetSet: cache.Current()})
		return
	}
	current := cache.Current().Version
	if cache.ShouldFetch(m.TargetsVersion) {
		l.send(wire.Message{GetTargets: &wire.GetTargets{}})
	}
	if m.TargetsVersion < current && m.GetTargets == nil {
		l.send(wire.Message{})
	}
}

// handleGrant passes a grant to its attempt. A grant that is not accepted or
// that no attempt waits for is declined immediately, so that the backend
// server's slot is not blocked until the grant expires.
func (l *link) handleGrant(grant *wire.Grant) {
	handler, ok := l.removePending(attemptKey{grant.RequestID, grant.Attempt})
	if !ok || !handler.Granted(l.name, grant.ID) {
		l.send(wire.Message{Withdraw: &wire.Withdraw{RequestID: grant.RequestID, Attempt: grant.Attempt}})
	}
}

func (l *link) handleRefusal(refusal *wire.Refuse) {
	handler, ok := l.removePending(attemptKey{refusal.RequestID, refusal.Attempt})
	if ok {
		handler.Refused(l.name, refusal.Reason, time.Duration(refusal.RetryAfterMS)*time.Millisecond)
	}
}

// removePending removes a ticket and returns its handler; false if it is not
// pending.
func (l *link) removePending(key attemptKey) (TicketHandler, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending.remove(key)
}

// place sends a ticket. It returns false if there is no connection.
func (l *link) place(t *wire.Ticket, handler TicketHandler) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return false
	}
	key := attemptKey{t.RequestID, t.Attempt}
	l.pending.add(key, t.Tier, handler)
	if err := l.conn.Send(wire.Message{Ticket: t}); err != nil {
		l.pending.remove(key)
		return false
	}
	l.liveness.ticketPlaced(time.Now())
	return true
}

// withdraw cancels a ticket that has not been answered.
func (l *link) withdraw(request string, attempt int) {
	if _, ok := l.removePending(attemptKey{request, attempt}); ok {
		l.send(wire.Message{Withdraw: &wire.Withdraw{RequestID: request, Attempt: attempt}})
	}
}

// send sends a message if there is a connection; otherwise it is dropped.
func (l *link) send(m wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Send(m)
		l.liveness.messageSent(time.Now())
	}
}
