package agent

import (
	"context"
	"fmt"
	"strings"
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

// place takes a ticket or refuses it at once.
func (tb *table) place(s *session, m *wire.Ticket) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if reason, closed := tb.closed(); closed {
		tb.refuse(s, m.Request, m.Attempt, reason, closedRetryAfter)
		return
	}
	if m.Serves != tb.serves {
		tb.refuse(s, m.Request, m.Attempt, wire.ReasonSwitching, closedRetryAfter)
		return
	}
	now := time.Now()
	t := newTicket(now, s, m, tb.holder.Current())
	if tb.placedBefore(s, t.policy.ID) {
		return
	}
	if m.Retry {
		tb.sched.Resume(now, t.policy)
	} else if !tb.offer(now, s, t) {
		return
	}
	tb.tickets[t.policy.ID] = t
	tb.ring.Record(timeline.KindTicket, m.Request, m.Class, "")
	tb.grantWaiting(now)
}

// placedBefore reports whether the ticket waits or is granted already. The
// entry then places it anew, since its earlier connection has gone silent,
// which this side may never notice: what is said of it goes to the newer
// session from now on. Called with mu held.
func (tb *table) placedBefore(s *session, id string) bool {
	if t, ok := tb.tickets[id]; ok {
		if s.joined > t.session.joined {
			t.session = s
		}
		return true
	}
	g, ok := tb.grants.offered[id]
	if ok {
		s.send(wire.Message{Grant: &wire.Grant{Request: g.request, Attempt: g.attempt, ID: g.id}})
	}
	return ok
}

func (tb *table) offer(now time.Time, s *session, t *ticket) bool {
	decision := tb.sched.Offer(now, t.policy)
	for _, id := range decision.Displaced {
		tb.displace(now, id)
	}
	if decision.Admitted {
		return true
	}
	reason := wire.ReasonOverload
	if decision.Full {
		reason = wire.ReasonQueueFull
	}
	tb.refuse(s, t.request, t.attempt, reason, decision.RetryAfter)
	return false
}

// displace refuses a waiting ticket that gave its place to a more urgent one.
func (tb *table) displace(now time.Time, id string) {
	t, ok := tb.tickets[id]
	if !ok {
		return
	}
	delete(tb.tickets, id)
	tb.refuse(t.session, t.request, t.attempt, wire.ReasonQueueFull, tb.sched.RetryAfter(now, t.policy.Tier))
}

// closedRetryAfter is when a caller may come back to a fleet that has no
// engine at all; entries try other engines first.
const closedRetryAfter = 2 * time.Second

func (tb *table) closed() (wire.Reason, bool) {
	if tb.leaving {
		return wire.ReasonLeaving, true
	}
	if !tb.engineUp {
		return wire.ReasonEngineDown, true
	}
	if tb.switching {
		return wire.ReasonSwitching, true
	}
	return "", false
}

func (tb *table) refuse(s *session, request string, attempt int, reason wire.Reason, after time.Duration) {
	tb.ring.Record(timeline.KindRefusal, request, "", string(reason))
	s.send(wire.Message{
		Refuse: &wire.Refuse{Request: request, Attempt: attempt, Reason: reason, RetryAfterMS: after.Milliseconds()},
		Status: tb.status(0),
	})
}

// withdraw takes back a waiting ticket, or a grant that was declined.
//
// A message that comes late over a session that was given up has no say over
// a ticket that was placed anew.
func (tb *table) withdraw(s *session, m *wire.Withdraw) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	id := ticketID(m.Request, m.Attempt)
	if t, ok := tb.tickets[id]; ok {
		if s.joined < t.session.joined {
			return
		}
		delete(tb.tickets, id)
		tb.sched.Withdraw(id)
		return
	}
	if g, ok := tb.grants.offered[id]; ok {
		tb.lapse(time.Now(), g)
	}
}

// void makes a grant unusable, or says that it was used.
func (tb *table) void(grantID string) wire.VoidResult {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if !strings.HasPrefix(grantID, tb.incarnation+"-") {
		return wire.VoidUnknown
	}
	g, ok := tb.grants.byID[grantID]
	if !ok {
		return wire.VoidUnknown
	}
	if g.state == grantOffered {
		tb.lapse(time.Now(), g)
	}
	if g.state == grantLapsed {
		return wire.VoidDone
	}
	return wire.VoidStarted
}

// take uses a grant up; false means that it can't be used and nothing runs.
func (tb *table) take(r *wire.RunRequest) (*grant, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	g, ok := tb.grants.byID[r.Grant]
	if !ok || g.state != grantOffered || g.ticketID != ticketID(r.Request, r.Attempt) {
		return nil, false
	}
	tb.grants.use(g)
	tb.sched.Started(time.Now(), g.ticketID)
	tb.ring.Record(timeline.KindStart, g.request, g.class, "")
	return g, true
}

// tokens tells the policy that a run's tokens came. The first may show that
// the engine has room for more.
func (tb *table) tokens(g *grant, n int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := time.Now()
	tb.sched.Tokens(now, g.ticketID, n)
	if !g.streaming {
		g.streaming = true
		tb.grantWaiting(now)
	}
}

// finish frees a run's slot.
func (tb *table) finish(g *grant, o policy.Outcome) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := time.Now()
	tb.grants.end(now, g)
	tb.sched.Finished(now, g.ticketID, o)
	tb.ring.Record(timeline.KindFinish, g.request, g.class, o.String())
	tb.grantWaiting(now)
	tb.checkDrained()
}

// grantWaiting preempts what the policy says, then grants while it finds room.
// Called with mu held.
func (tb *table) grantWaiting(now time.Time) {
	if _, closed := tb.closed(); closed {
		return
	}
	for {
		id, ok := tb.sched.Preempt(now)
		if !ok {
			break
		}
		tb.preempt(id)
	}
	for {
		next, ok := tb.sched.Next(now)
		if !ok {
			break
		}
		tb.grant(now, next)
	}
	tb.rearm()
}

// rearm has keepTime look again when the policy's next decision is due.
func (tb *table) rearm() {
	select {
	case tb.wake <- struct{}{}:
	default:
	}
}

func (tb *table) grant(now time.Time, next policy.Ticket) {
	t, ok := tb.tickets[next.ID]
	if !ok {
		tb.sched.Finished(now, next.ID, policy.OutcomeLapsed)
		return
	}
	delete(tb.tickets, next.ID)
	tb.grantSeq++
	g := &grant{
		id:       fmt.Sprintf("%s-%d", tb.incarnation, tb.grantSeq),
		ticketID: next.ID,
		request:  t.request,
		attempt:  t.attempt,
		class:    t.policy.Class,
		tier:     int(t.policy.Tier),
		offered:  now,
		state:    grantOffered,
		cancel:   make(chan struct{}),
	}
	tb.grants.offer(g)
	tb.ring.Record(timeline.KindGrant, t.request, t.policy.Class, "")
	t.session.send(wire.Message{
		Grant:  &wire.Grant{Request: t.request, Attempt: t.attempt, ID: g.id},
		Status: tb.status(0),
	})
}

func (tb *table) preempt(ticketID string) {
	if g, ok := tb.grants.used[ticketID]; ok {
		g.cancelOnce.Do(func() { close(g.cancel) })
		tb.ring.Record(timeline.KindPreempt, g.request, g.class, "")
	}
}

// lapse frees the slot of a grant that was not taken up. Called with mu held.
func (tb *table) lapse(now time.Time, g *grant) {
	tb.grants.lapse(now, g)
	tb.sched.Finished(now, g.ticketID, policy.OutcomeLapsed)
	tb.grantWaiting(now)
	tb.checkDrained()
}

// keepTime lets grants lapse, forgets old ones and asks the policy when a
// decision of its own is due.
func (tb *table) keepTime(ctx context.Context) {
	at := time.Now().Add(wakeAtLeast)
	timer := time.NewTimer(wakeAtLeast)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			at = tb.tick(time.Now())
			timer.Reset(time.Until(at))
		case <-tb.wake:
			// Never later than planned: else a stream of new tickets would
			// put the next look off for good.
			if due := tb.due(time.Now()); due.Before(at) {
				at = due
				timer.Reset(time.Until(at))
			}
		}
	}
}

// tick does what time alone brings about and returns when to look again.
func (tb *table) tick(now time.Time) time.Time {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, g := range tb.grants.offered {
		if now.Sub(g.offered) > grantTTL {
			tb.lapse(now, g)
		}
	}
	tb.grants.forget(now.Add(-grantMemory))
	tb.expire(now)
	tb.grantWaiting(now)
	load := tb.sched.Load()
	tb.queue.Set(load.Waiting, load.Running, load.Limit)
	return tb.nextLook(now)
}

// due is when the policy's next decision is due.
func (tb *table) due(now time.Time) time.Time {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.nextLook(now)
}

// nextLook bounds the policy's next decision from both sides. Called with mu
// held.
func (tb *table) nextLook(now time.Time) time.Time {
	latest := now.Add(wakeAtLeast)
	due, ok := tb.sched.NextWake(now)
	if !ok || due.After(latest) {
		return latest
	}
	if soonest := now.Add(time.Millisecond); due.Before(soonest) {
		return soonest
	}
	return due
}

// expire gives up on tickets that have waited past the policy's bound.
func (tb *table) expire(now time.Time) {
	for _, id := range tb.sched.Expire(now) {
		t, ok := tb.tickets[id]
		if !ok {
			continue
		}
		delete(tb.tickets, id)
		tb.refuse(t.session, t.request, t.attempt, wire.ReasonOverload, tb.sched.RetryAfter(now, t.policy.Tier))
	}
}

// leave refuses all that waits; what is granted or runs goes on to its end.
func (tb *table) leave() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if !tb.leaving {
		tb.ring.Record(timeline.KindLeave, "", "", "takes no new work")
	}
	tb.leaving = true
	tb.refuseWaiting(wire.ReasonLeaving)
	tb.tell(wire.Message{Status: tb.status(0)})
	tb.checkDrained()
}

// setEngine notes whether the backend server can be reached.
func (tb *table) setEngine(up bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if up == tb.engineUp {
		return
	}
	tb.engineUp = up
	if !up {
		tb.refuseWaiting(wire.ReasonEngineDown)
	}
	tb.tell(wire.Message{Status: tb.status(0)})
}

func (tb *table) refuseWaiting(reason wire.Reason) {
	for id, t := range tb.tickets {
		delete(tb.tickets, id)
		tb.sched.Withdraw(id)
		tb.refuse(t.session, t.request, t.attempt, reason, closedRetryAfter)
	}
}

// checkDrained ends the wait of a graceful shutdown. Called with mu held.
func (tb *table) checkDrained() {
	if !tb.leaving || len(tb.grants.used) > 0 || len(tb.grants.offered) > 0 {
		return
	}
	tb.drainOnce.Do(func() { close(tb.drained) })
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

// statusNow answers a Ping.
func (tb *table) statusNow(seq uint64) *wire.Status {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.status(seq)
}

func (tb *table) status(seq uint64) *wire.Status {
	load := tb.sched.Load()
	return &wire.Status{
		Seq:        seq,
		Waiting:    load.Waiting,
		Running:    load.Running,
		Limit:      load.Limit,
		Leaving:    tb.leaving,
		EngineDown: !tb.engineUp || tb.switching,
	}
}

// state says whether new tickets are refused, and why.
func (tb *table) state() (wire.Reason, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.closed()
}

// closeSessions ends the control connections of a drained agent.
func (tb *table) closeSessions() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for s := range tb.sessions {
		s.conn.End()
	}
}
