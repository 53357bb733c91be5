package agent

import (
	"time"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

// enqueue admits a ticket to the queue or refuses it immediately.
func (d *dispatcher) enqueue(s *session, m *wire.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reason, unavailable := d.unavailableLocked(); unavailable {
		d.refuse(s, m.RequestID, m.Attempt, reason, unavailableRetryAfter)
		return
	}
	if m.Serves != d.served {
		d.refuse(s, m.RequestID, m.Attempt, wire.ReasonSwitching, unavailableRetryAfter)
		return
	}
	now := time.Now()
	t := newTicket(now, s, m, d.targets.Current())
	if d.reattach(s, t.policy.ID) {
		return
	}
	if m.Retry {
		d.scheduler.Resume(now, t.policy)
	} else if !d.admit(now, s, t) {
		return
	}
	d.tickets[t.policy.ID] = t
	d.events.Record(timeline.KindTicket, m.RequestID, m.Class, "")
	d.dispatch(now)
}

// reattach reports whether the ticket is already waiting, granted or running. In
// that case the entry submits it again because its earlier connection stopped
// responding, which the agent may never notice. All further messages about the
// ticket go to the newer session, and an issued grant is sent again. An entry
// whose ticket is running got the grant in the meantime and needs no message.
// Called with mu held.
func (d *dispatcher) reattach(s *session, id string) bool {
	if t, ok := d.tickets[id]; ok {
		if s.seq > t.session.seq {
			t.session = s
		}
		return true
	}
	if g, ok := d.grants.issued[id]; ok {
		if s.seq > g.session.seq {
			g.session = s
		}
		s.send(wire.Message{Grant: &wire.Grant{RequestID: g.requestID, Attempt: g.attempt, ID: g.id}})
		return true
	}
	_, running := d.grants.running[id]
	return running
}

// admit offers the ticket to the scheduler and reports whether it was admitted.
// It refuses the ticket otherwise, and evicts the tickets that it displaces.
// Called with mu held.
func (d *dispatcher) admit(now time.Time, s *session, t *ticket) bool {
	decision := d.scheduler.Offer(now, t.policy)
	for _, id := range decision.Displaced {
		d.evict(now, id)
	}
	if decision.Admitted {
		return true
	}
	reason := wire.ReasonOverload
	if decision.QueueFull {
		reason = wire.ReasonQueueFull
	}
	d.refuse(s, t.requestID, t.attempt, reason, decision.RetryAfter)
	return false
}

// evict refuses a waiting ticket that was displaced by a more urgent one. Called
// with mu held.
func (d *dispatcher) evict(now time.Time, id string) {
	t, ok := d.tickets[id]
	if !ok {
		return
	}
	delete(d.tickets, id)
	d.refuse(t.session, t.requestID, t.attempt, wire.ReasonQueueFull, d.scheduler.RetryAfter(now, t.policy.Tier))
}

// refuse sends a refusal and the status to the ticket's session. Called with mu
// held.
func (d *dispatcher) refuse(s *session, requestID string, attempt int, reason wire.Reason, retryAfter time.Duration) {
	d.events.Record(timeline.KindRefusal, requestID, "", string(reason))
	s.send(wire.Message{
		Refuse: &wire.Refuse{RequestID: requestID, Attempt: attempt, Reason: reason, RetryAfterMS: retryAfter.Milliseconds()},
		Status: d.statusLocked(0),
	})
}

// refuseWaiting refuses all waiting tickets. Called with mu held.
func (d *dispatcher) refuseWaiting(reason wire.Reason) {
	for id, t := range d.tickets {
		delete(d.tickets, id)
		d.scheduler.Withdraw(id)
		d.refuse(t.session, t.requestID, t.attempt, reason, unavailableRetryAfter)
	}
}

// withdraw removes a waiting ticket, or expires a grant that was declined. A
// late message from an older session is ignored if the ticket was submitted
// again over a newer one.
func (d *dispatcher) withdraw(s *session, m *wire.Withdraw) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := ticketID(m.RequestID, m.Attempt)
	if t, ok := d.tickets[id]; ok {
		if s.seq < t.session.seq {
			return
		}
		delete(d.tickets, id)
		d.scheduler.Withdraw(id)
		return
	}
	if g, ok := d.grants.issued[id]; ok && s.seq >= g.session.seq {
		d.expireGrant(time.Now(), g)
	}
}

// expireTickets refuses the tickets that waited longer than the policy allows.
// Called with mu held.
func (d *dispatcher) expireTickets(now time.Time) {
	for _, id := range d.scheduler.Expire(now) {
		t, ok := d.tickets[id]
		if !ok {
			continue
		}
		delete(d.tickets, id)
		d.refuse(t.session, t.requestID, t.attempt, wire.ReasonOverload, d.scheduler.RetryAfter(now, t.policy.Tier))
	}
}
