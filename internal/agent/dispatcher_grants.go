package agent

import (
	"fmt"
	"strings"
	"time"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// dispatch preempts the runs that the scheduler selects, then issues grants
// while the scheduler returns tickets. Called with mu held.
func (d *dispatcher) dispatch(now time.Time) {
	if _, unavailable := d.unavailableLocked(); unavailable {
		return
	}
	for {
		id, ok := d.scheduler.Preempt(now)
		if !ok {
			break
		}
		d.preemptRun(id)
	}
	for {
		next, ok := d.scheduler.Next(now)
		if !ok {
			break
		}
		d.issueGrant(now, next)
	}
	d.wakeTimer()
}

// wakeTimer makes runTimers recompute the time of the next tick.
func (d *dispatcher) wakeTimer() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// issueGrant issues the grant for a ticket that the scheduler selected and sends
// it to the ticket's session. Called with mu held.
func (d *dispatcher) issueGrant(now time.Time, next policy.Ticket) {
	t, ok := d.tickets[next.ID]
	if !ok {
		d.scheduler.Finished(now, next.ID, policy.OutcomeLapsed)
		return
	}
	delete(d.tickets, next.ID)
	d.grantSeq++
	g := &grant{
		id:        fmt.Sprintf("%s-%d", d.instance, d.grantSeq),
		session:   t.session,
		ticketID:  next.ID,
		requestID: t.requestID,
		attempt:   t.attempt,
		class:     t.policy.Class,
		tier:      int(t.policy.Tier),
		issuedAt:  now,
		state:     grantIssued,
		preempted: make(chan struct{}),
	}
	d.grants.addIssued(g)
	d.events.Record(timeline.KindGrant, t.requestID, t.policy.Class, "")
	t.session.send(wire.Message{
		Grant:  &wire.Grant{RequestID: t.requestID, Attempt: t.attempt, ID: g.id},
		Status: d.statusLocked(0),
	})
}

// preemptRun stops the run of a ticket, if it is still running. Called with mu
// held.
func (d *dispatcher) preemptRun(ticketID string) {
	if g, ok := d.grants.running[ticketID]; ok {
		g.preemptOnce.Do(func() { close(g.preempted) })
		d.events.Record(timeline.KindPreempt, g.requestID, g.class, "")
	}
}

// expireGrant frees the slot of a grant that was not used. Called with mu
// held.
func (d *dispatcher) expireGrant(now time.Time, g *grant) {
	d.grants.markExpired(now, g)
	d.scheduler.Finished(now, g.ticketID, policy.OutcomeLapsed)
	d.dispatch(now)
	d.signalIfDrained()
}

// voidGrant makes an issued grant unusable. It returns VoidDone if the grant can
// no longer be used, VoidStarted if it was used, and VoidUnknown if it was
// issued by another instance or ended more than grantRetention ago.
func (d *dispatcher) voidGrant(grantID string) wire.VoidResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !strings.HasPrefix(grantID, d.instance+"-") {
		return wire.VoidUnknown
	}
	g, ok := d.grants.byID[grantID]
	if !ok {
		return wire.VoidUnknown
	}
	if g.state == grantIssued {
		d.expireGrant(time.Now(), g)
	}
	if g.state == grantExpired {
		return wire.VoidDone
	}
	return wire.VoidStarted
}

// useGrant marks the grant of a run request as used. It returns false when the
// grant can't be used, in which case nothing runs.
func (d *dispatcher) useGrant(req *wire.RunRequest) (*grant, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.grants.byID[req.GrantID]
	if !ok || g.state != grantIssued || g.ticketID != ticketID(req.RequestID, req.Attempt) {
		return nil, false
	}
	d.grants.markUsed(g)
	d.scheduler.Started(time.Now(), g.ticketID)
	d.events.Record(timeline.KindStart, g.requestID, g.class, "")
	return g, true
}

// recordTokens reports received tokens of a run to the scheduler. The first
// token may show that the engine has capacity for another run.
func (d *dispatcher) recordTokens(g *grant, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.scheduler.Tokens(now, g.ticketID, n)
	if !g.streaming {
		g.streaming = true
		d.dispatch(now)
	}
}

// finishRun frees the slot of a run that has ended.
func (d *dispatcher) finishRun(g *grant, outcome policy.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.grants.markEnded(now, g)
	d.scheduler.Finished(now, g.ticketID, outcome)
	d.events.Record(timeline.KindFinish, g.requestID, g.class, outcome.String())
	d.dispatch(now)
	d.signalIfDrained()
}
