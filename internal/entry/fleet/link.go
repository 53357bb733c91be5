package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/platform"
	"github.com/applepier/applepier/internal/wire"
)

const (
	// redialFrom and redialTo bound the pause between two dials.
	redialFrom = 100 * time.Millisecond
	redialTo   = 2 * time.Second
	// voidTimeout bounds the wait for the answer to Void.
	voidTimeout = 2 * time.Second
)

// ErrNoAnswer: the agent could not be asked, or did not answer.
var ErrNoAnswer = errors.New("agent did not answer")

// link is this entry's connection to one agent. It dials again by itself.
// Lock order: link.mu is a leaf but for the connection, whose Send never
// blocks; listeners are called without it.
type link struct {
	fleet *Fleet
	vm    platform.VM

	mu       sync.Mutex
	conn     *wire.Conn
	status   wire.Status
	hello    wire.Hello
	seen     time.Time
	targets  uint64
	tickets  waitingTickets
	voids    map[string]chan wire.VoidResult
	liveness liveness
	pingSeq  uint64
	down     bool
	// told is closed with the next Status; nil when nobody waits for it.
	told chan struct{}
}

func newLink(f *Fleet, vm platform.VM) *link {
	return &link{
		fleet:   f,
		vm:      vm,
		tickets: newWaitingTickets(),
		voids:   make(map[string]chan wire.VoidResult),
	}
}

// run keeps the connection up until ctx ends.
func (l *link) run(ctx context.Context) {
	pause := redialFrom
	for ctx.Err() == nil {
		conn, err := wire.Dial(ctx, l.vm.Addr, l.fleet.config.SystemKey, l.fleet.config.Local)
		if err != nil {
			l.setDown()
			pause = min(2*pause, redialTo)
		} else {
			pause = redialFrom
			l.serve(ctx, conn)
		}
		jittered := pause/2 + rand.N(pause/2)
		select {
		case <-ctx.Done():
		case <-time.After(jittered):
		}
	}
}

func (l *link) setDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
}

func (l *link) serve(ctx context.Context, conn *wire.Conn) {
	var pinger conc.WaitGroup
	defer pinger.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.attach(conn)
	log := l.fleet.config.Log.With(logging.Peer(l.vm.Name))
	log.Info(logging.EventConnected)
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	pinger.Go(func() { l.ping(ctx, conn) })
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			log.Info(logging.EventDisconnected, logging.Reason(err.Error()))
			break
		}
		l.handle(m)
	}
	conn.Close()
	l.detach(conn)
}

func (l *link) attach(conn *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	l.down = false
	l.liveness = liveness{quiet: time.Now()}
	_ = conn.Send(wire.Message{Hello: &wire.Hello{Process: l.fleet.config.Process, Zone: l.fleet.config.Zone}})
}

// detach tells every attempt that waits here that its ticket is gone.
func (l *link) detach(conn *wire.Conn) {
	l.mu.Lock()
	if l.conn != conn {
		l.mu.Unlock()
		return
	}
	l.conn = nil
	lost := l.tickets.byAttempt
	l.tickets = newWaitingTickets()
	for _, answer := range l.voids {
		close(answer)
	}
	l.voids = make(map[string]chan wire.VoidResult)
	l.mu.Unlock()
	for _, t := range lost {
		t.listener.Lost(l.vm.Name)
	}
}

// ping watches a connection for signs of life, as liveness says.
func (l *link) ping(ctx context.Context, conn *wire.Conn) {
	timer := time.NewTimer(pingEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		seq, ask, dead, next := l.pingState()
		if dead {
			conn.Close()
			return
		}
		if ask {
			_ = conn.Send(wire.Message{Ping: &wire.Ping{Seq: seq}})
		}
		timer.Reset(next)
	}
}

func (l *link) pingState() (seq uint64, ask, dead bool, next time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	w := l.watch()
	ask, dead = l.liveness.check(now, w)
	l.pingSeq++
	return l.pingSeq, ask, dead, l.liveness.next(now, w)
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
	if !ok || !listener.Granted(l.vm.Name, g.ID) {
		l.send(wire.Message{Withdraw: &wire.Withdraw{Request: g.Request, Attempt: g.Attempt}})
	}
}

func (l *link) refused(r *wire.Refuse) {
	listener, ok := l.takeListener(attemptKey{r.Request, r.Attempt})
	if ok {
		listener.Refused(l.vm.Name, r.Reason, time.Duration(r.RetryAfterMS)*time.Millisecond)
	}
}

func (l *link) takeListener(key attemptKey) (Listener, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tickets.take(key)
}

func (l *link) voided(v *wire.Voided) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer, ok := l.voids[v.Grant]; ok {
		delete(l.voids, v.Grant)
		answer <- v.Result
	}
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

// void asks the agent to make a grant unusable.
func (l *link) void(ctx context.Context, grant string) (wire.VoidResult, error) {
	answer := make(chan wire.VoidResult, 1)
	if !l.askVoid(grant, answer) {
		return "", ErrNoAnswer
	}
	ctx, cancel := context.WithTimeout(ctx, voidTimeout)
	defer cancel()
	select {
	case result, ok := <-answer:
		if !ok {
			return "", ErrNoAnswer
		}
		return result, nil
	case <-ctx.Done():
		return "", ErrNoAnswer
	}
}

func (l *link) askVoid(grant string, answer chan wire.VoidResult) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return false
	}
	l.voids[grant] = answer
	return l.conn.Send(wire.Message{Void: &wire.Void{Grant: grant}}) == nil
}

func (l *link) send(m wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Send(m)
		l.liveness.noteSent(time.Now())
	}
}
