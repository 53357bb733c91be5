package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// schedulerModel calls a Scheduler in random order and tracks the state that the
// calls must lead to.
type schedulerModel struct {
	*Scheduler
	now         time.Time
	ticketCount int
	waiting     map[string]Ticket
	running     map[string]Ticket
	// ended holds the tickets that were refused, expired, displaced, withdrawn or
	// finished.
	ended map[string]bool
}

// drawTicket returns a random ticket.
func (m *schedulerModel) drawTicket(t *rapid.T) Ticket {
	m.ticketCount++
	tier := Tier(rapid.IntRange(0, int(BottomTier)).Draw(t, "tier"))
	ticket := Ticket{
		ID:          fmt.Sprintf("t%d", m.ticketCount),
		Class:       fmt.Sprintf("%d-%d", tier, rapid.IntRange(0, 1).Draw(t, "class")),
		Customer:    fmt.Sprintf("c%d", rapid.IntRange(0, 3).Draw(t, "customer")),
		Tier:        tier,
		Size:        rapid.IntRange(0, 4000).Draw(t, "size"),
		Copies:      rapid.IntRange(1, 3).Draw(t, "copies"),
		Preemptible: rapid.Bool().Draw(t, "preemptible"),
		FirstToken:  time.Second,
	}
	if slack := rapid.IntRange(0, 20).Draw(t, "slack"); slack > 0 {
		ticket.Deadline = m.now.Add(time.Duration(slack) * time.Second)
		ticket.DeadlineMilestone = Milestone(rapid.IntRange(0, 2).Draw(t, "due"))
	}
	return ticket
}

// endWaiting ends a ticket, which must be waiting.
func (m *schedulerModel) endWaiting(t *rapid.T, id string) {
	if _, ok := m.waiting[id]; !ok || m.ended[id] {
		t.Fatalf("%s ended, but was not waiting", id)
	}
	delete(m.waiting, id)
	m.ended[id] = true
}

// offer offers a ticket. The top tier is never refused, and a refusal must state a
// Retry-After within its bounds.
func (m *schedulerModel) offer(t *rapid.T) {
	ticket := m.drawTicket(t)
	decision := m.Offer(m.now, ticket)
	for _, id := range decision.Displaced {
		m.endWaiting(t, id)
	}
	if decision.Admitted {
		m.waiting[ticket.ID] = ticket
		return
	}
	m.ended[ticket.ID] = true
	if ticket.Tier == TopTier {
		t.Fatalf("ticket of the top tier refused")
	}
	if decision.RetryAfter < minRetryAfter || decision.RetryAfter > maxRetryAfter {
		t.Fatalf("Retry-After %v is out of bounds", decision.RetryAfter)
	}
}

// resume queues a request that was partially executed before.
func (m *schedulerModel) resume(t *rapid.T) {
	ticket := m.drawTicket(t)
	m.Resume(m.now, ticket)
	m.waiting[ticket.ID] = ticket
}

// withdraw withdraws a waiting ticket, which must succeed once only.
func (m *schedulerModel) withdraw(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedIDs(m.waiting)).Draw(t, "withdraw")
	if !m.Withdraw(id) || m.Withdraw(id) {
		t.Fatalf("%s was not withdrawn exactly once", id)
	}
	m.endWaiting(t, id)
}

// finish ends a granted run, with or without tokens before.
func (m *schedulerModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedIDs(m.running)).Draw(t, "finish")
	if rapid.Bool().Draw(t, "stream") {
		m.Started(m.now, id)
		m.sleep(t)
		m.Tokens(m.now, id, 1)
		m.Tokens(m.now, id, 3)
	}
	m.Finished(m.now, id, Outcome(rapid.IntRange(1, 4).Draw(t, "outcome")))
	delete(m.running, id)
	m.ended[id] = true
}

// sleep advances the clock by up to five seconds.
func (m *schedulerModel) sleep(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
}

// runScheduler executes all due decisions, as an agent does after each event.
func (m *schedulerModel) runScheduler(t *rapid.T) {
	for _, id := range m.Expire(m.now) {
		m.endWaiting(t, id)
	}
	for {
		id, ok := m.Preempt(m.now)
		if !ok {
			break
		}
		if victim := m.running[id]; victim.Tier <= lastUrgentTier || !victim.Preemptible {
			t.Fatalf("preempted a run that may not be preempted: %+v", victim)
		}
		m.Finished(m.now, id, OutcomeCancelled)
		delete(m.running, id)
		m.ended[id] = true
	}
	for m.grantNext(t) {
	}
}

// grantNext grants the next ticket, if there is one, and checks the order of tiers
// and the bound on guaranteed runs.
func (m *schedulerModel) grantNext(t *rapid.T) bool {
	guaranteedBefore := m.guarantee.running
	ticket, ok := m.Next(m.now)
	if !ok {
		return false
	}
	if _, isWaiting := m.waiting[ticket.ID]; !isWaiting || m.ended[ticket.ID] {
		t.Fatalf("%s granted, but was not waiting", ticket.ID)
	}
	delete(m.waiting, ticket.ID)
	m.running[ticket.ID] = ticket
	guaranteed := m.guarantee.running > guaranteedBefore
	for _, other := range m.waiting {
		if other.Tier < ticket.Tier && !guaranteed {
			t.Fatalf("tier %d granted before tier %d", ticket.Tier, other.Tier)
		}
	}
	if m.guarantee.running > guaranteedSlots(m.Load().Limit) {
		t.Fatalf("%d guaranteed runs exceed the bound", m.guarantee.running)
	}
	return true
}

// checkInvariants compares the Scheduler with the model, and checks that slots don't
// idle, that no decision is overdue and that an empty queue holds no state.
func (m *schedulerModel) checkInvariants(t *rapid.T) {
	load := m.Load()
	if load.Waiting != len(m.waiting) || load.Running != len(m.running) {
		t.Fatalf("load %+v, want %d waiting and %d running", load, len(m.waiting), len(m.running))
	}
	reserved := max(reservedSlots(load.Limit), m.urgentUsage.reserved())
	if load.Waiting > 0 && load.Running < load.Limit-reserved && !m.deferred() {
		t.Fatalf("%d tickets wait while %d runs use a limit of %d", load.Waiting, load.Running, load.Limit)
	}
	if wake, ok := m.NextWake(m.now); ok && !wake.After(m.now) {
		t.Fatalf("NextWake is not after now")
	}
	if load.Waiting == 0 && (m.queue.deadlines.Len() > 0 || m.queue.classEntries() > 0) {
		t.Fatalf("the empty queue still holds state")
	}
}

// deferred reports whether the next ticket is deferred to other engines that have
// a copy of it, which is allowed for less than likelyLateDeferral.
func (m *schedulerModel) deferred() bool {
	_, isDeferred := m.nextDeferralEnd(m.now)
	w := m.queue.next().head()
	return isDeferred && w.ticket.Copies > 1 && m.now.Sub(w.ticket.Arrived) < likelyLateDeferral
}

// TestSchedulerProperties checks, for random calls, that no ticket is both granted and
// refused, that only guaranteed runs are granted before waiting tickets of a more
// urgent tier, that the top tier is never refused, that slots don't idle while tickets
// wait, and that an empty queue holds no state.
func TestSchedulerProperties(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &schedulerModel{
			Scheduler: NewScheduler(),
			now:       time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC),
			waiting:   map[string]Ticket{},
			running:   map[string]Ticket{},
			ended:     map[string]bool{},
		}
		actions := []func(*rapid.T){m.offer, m.offer, m.offer, m.resume, m.withdraw, m.finish, m.finish, m.sleep}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
			m.runScheduler(t)
			m.checkInvariants(t)
		}
	})
}

// TestBoundedWait checks the bound on the wait that is documented at guarantee: a class
// with a waiting ticket is granted a slot within it, for random run times up to the
// longest.
func TestBoundedWait(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.IntRange(2, 6).Draw(t, "classes")
		longestRun := time.Duration(rapid.IntRange(1, 20).Draw(t, "longest")) * time.Second
		bound := starvedAfter + time.Duration(classes)*longestRun
		clock, s := newVirtualClock(), NewScheduler()
		lastGrant := map[string]time.Time{}
		ticketCount := 0
		offer := func(class int) {
			ticketCount++
			s.Offer(clock.now, Ticket{ID: fmt.Sprint(ticketCount), Class: fmt.Sprint(class), Tier: Tier(class)})
		}
		var grantAll func()
		grantAll = func() {
			for ticket, ok := s.Next(clock.now); ok; ticket, ok = s.Next(clock.now) {
				if wait := clock.now.Sub(lastGrant[ticket.Class]); wait > bound {
					t.Fatalf("class %s of %d waited %v, with runs of up to %v", ticket.Class, classes, wait, longestRun)
				}
				lastGrant[ticket.Class] = clock.now
				offer(int(ticket.Tier))
				runTime := time.Duration(rapid.Int64Range(1, int64(longestRun)).Draw(t, "run"))
				id := ticket.ID
				s.Started(clock.now, id)
				clock.afterFunc(runTime, func() { s.Finished(clock.now, id, OutcomeComplete); grantAll() })
			}
		}
		for class := range classes {
			lastGrant[fmt.Sprint(class)] = clock.now
			for range 12 {
				offer(class)
			}
		}
		grantAll()
		clock.runUntil(clock.now.Add(2 * bound))
		for class, grantedAt := range lastGrant {
			if wait := clock.now.Sub(grantedAt); wait > bound {
				t.Fatalf("class %s of %d has waited %v, with runs of up to %v", class, classes, wait, longestRun)
			}
		}
	})
}
