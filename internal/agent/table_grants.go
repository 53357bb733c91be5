package agent

import (
	"fmt"
	"strings"
	"time"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

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
