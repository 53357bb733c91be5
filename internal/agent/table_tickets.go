package agent

import (
	"time"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

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

func (tb *table) refuse(s *session, request string, attempt int, reason wire.Reason, after time.Duration) {
	tb.ring.Record(timeline.KindRefusal, request, "", string(reason))
	s.send(wire.Message{
		Refuse: &wire.Refuse{Request: request, Attempt: attempt, Reason: reason, RetryAfterMS: after.Milliseconds()},
		Status: tb.status(0),
	})
}

func (tb *table) refuseWaiting(reason wire.Reason) {
	for id, t := range tb.tickets {
		delete(tb.tickets, id)
		tb.sched.Withdraw(id)
		tb.refuse(t.session, t.request, t.attempt, reason, closedRetryAfter)
	}
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
