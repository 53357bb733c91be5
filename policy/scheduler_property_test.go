package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machine drives a Scheduler with any calls and keeps what they imply.
type machine struct {
	*Scheduler
	now     time.Time
	serial  int
	waiting map[string]Ticket
	running map[string]Ticket
	// ended tickets were refused, expired, displaced, withdrawn or finished.
	ended map[string]bool
}

func (m *machine) newTicket(t *rapid.T) Ticket {
	m.serial++
	tier := Tier(rapid.IntRange(0, int(BottomTier)).Draw(t, "tier"))
	ticket := Ticket{
		ID:          fmt.Sprintf("t%d", m.serial),
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
		ticket.Due = Milestone(rapid.IntRange(0, 2).Draw(t, "due"))
	}
	return ticket
}

// end moves a waiting ticket to the ended ones; it may not have run.
func (m *machine) end(t *rapid.T, id string) {
	if _, ok := m.waiting[id]; !ok || m.ended[id] {
		t.Fatalf("%s refused, and it does not wait", id)
	}
	delete(m.waiting, id)
	m.ended[id] = true
}

func (m *machine) offer(t *rapid.T) {
	ticket := m.newTicket(t)
	d := m.Offer(m.now, ticket)
	for _, id := range d.Displaced {
		m.end(t, id)
	}
	if d.Admitted {
		m.waiting[ticket.ID] = ticket
		return
	}
	m.ended[ticket.ID] = true
	if ticket.Tier == TopTier {
		t.Fatalf("top tier refused")
	}
	if d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
		t.Fatalf("retry after %v", d.RetryAfter)
	}
}

func (m *machine) resume(t *rapid.T) {
	ticket := m.newTicket(t)
	m.Resume(m.now, ticket)
	m.waiting[ticket.ID] = ticket
}

func (m *machine) withdraw(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedIDs(m.waiting)).Draw(t, "withdraw")
	if !m.Withdraw(id) || m.Withdraw(id) {
		t.Fatalf("%s was not withdrawn once", id)
	}
	m.end(t, id)
}

func (m *machine) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedIDs(m.running)).Draw(t, "finish")
	if rapid.Bool().Draw(t, "stream") {
		m.Started(m.now, id)
		m.pass(t)
		m.Tokens(m.now, id, 1)
		m.Tokens(m.now, id, 3)
	}
	m.Finished(m.now, id, Outcome(rapid.IntRange(1, 4).Draw(t, "outcome")))
	delete(m.running, id)
	m.ended[id] = true
}

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
}

// serve does what an agent does after each event.
func (m *machine) serve(t *rapid.T) {
	for _, id := range m.Expire(m.now) {
		m.end(t, id)
	}
	for {
		id, ok := m.Preempt(m.now)
		if !ok {
			break
		}
		if victim := m.running[id]; victim.Tier <= urgentTier || !victim.Preemptible {
			t.Fatalf("preempted %+v", victim)
		}
		m.Finished(m.now, id, OutcomeCancelled)
		delete(m.running, id)
		m.ended[id] = true
	}
	for m.grant(t) {
	}
}

func (m *machine) grant(t *rapid.T) bool {
	guaranteed := m.guarantee.running
	ticket, ok := m.Next(m.now)
	if !ok {
		return false
	}
	if _, waits := m.waiting[ticket.ID]; !waits || m.ended[ticket.ID] {
		t.Fatalf("%s granted, and it does not wait", ticket.ID)
	}
	delete(m.waiting, ticket.ID)
	m.running[ticket.ID] = ticket
	out := m.guarantee.running > guaranteed
	for _, other := range m.waiting {
		if other.Tier < ticket.Tier && !out {
			t.Fatalf("tier %d granted before tier %d", ticket.Tier, other.Tier)
		}
	}
	if m.guarantee.running > guaranteedSlots(m.Load().Limit) {
		t.Fatalf("%d guaranteed runs", m.guarantee.running)
	}
	return true
}

func (m *machine) check(t *rapid.T) {
	load := m.Load()
	if load.Waiting != len(m.waiting) || load.Running != len(m.running) {
		t.Fatalf("load %+v, want %d waiting and %d running", load, len(m.waiting), len(m.running))
	}
	kept := max(reserveOf(load.Limit), m.urgent.slots())
	if load.Waiting > 0 && load.Running < load.Limit-kept && !m.held() {
		t.Fatalf("%d wait while %d of %d run", load.Waiting, load.Running, load.Limit)
	}
	if wake, ok := m.NextWake(m.now); ok && !wake.After(m.now) {
		t.Fatalf("a decision is due that was not made")
	}
	if load.Waiting == 0 && (m.queue.deadlines.Len() > 0 || m.queue.classes() > 0) {
		t.Fatalf("state is left behind")
	}
}

// held reports whether the next ticket is left to other engines: for a moment
// only, and only when there are others.
func (m *machine) held() bool {
	_, held := m.holdDue(m.now)
	w := m.queue.next().head()
	return held && w.ticket.Copies > 1 && m.now.Sub(w.ticket.Arrived) < holdHopeless
}

// TestSchedulerProperties: no ticket is both granted and refused, no tier is
// passed by a lower one but for the guarantee, the top tier is never refused,
// slots don't idle while tickets wait, and no state is left behind.
func TestSchedulerProperties(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			Scheduler: NewScheduler(),
			now:       time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC),
			waiting:   map[string]Ticket{},
			running:   map[string]Ticket{},
			ended:     map[string]bool{},
		}
		actions := []func(*rapid.T){m.offer, m.offer, m.offer, m.resume, m.withdraw, m.finish, m.finish, m.pass}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
			m.serve(t)
			m.check(t)
		}
	})
}

// TestBoundedWait: each class that has a ticket waiting is granted within the
// bound that guarantee states, whatever the length of runs up to the longest.
func TestBoundedWait(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.IntRange(2, 6).Draw(t, "classes")
		longest := time.Duration(rapid.IntRange(1, 20).Draw(t, "longest")) * time.Second
		bound := starvedAfter + time.Duration(classes)*longest
		clock, s := newVirtualClock(), NewScheduler()
		granted := map[string]time.Time{}
		serial := 0
		offer := func(class int) {
			serial++
			s.Offer(clock.now, Ticket{ID: fmt.Sprint(serial), Class: fmt.Sprint(class), Tier: Tier(class)})
		}
		var serve func()
		serve = func() {
			for ticket, ok := s.Next(clock.now); ok; ticket, ok = s.Next(clock.now) {
				if gap := clock.now.Sub(granted[ticket.Class]); gap > bound {
					t.Fatalf("class %s of %d waited %v, runs up to %v", ticket.Class, classes, gap, longest)
				}
				granted[ticket.Class] = clock.now
				offer(int(ticket.Tier))
				d := time.Duration(rapid.Int64Range(1, int64(longest)).Draw(t, "run"))
				id := ticket.ID
				s.Started(clock.now, id)
				clock.after(d, func() { s.Finished(clock.now, id, OutcomeWhole); serve() })
			}
		}
		for class := range classes {
			granted[fmt.Sprint(class)] = clock.now
			for range 12 {
				offer(class)
			}
		}
		serve()
		clock.runUntil(clock.now.Add(2 * bound))
		for class, at := range granted {
			if gap := clock.now.Sub(at); gap > bound {
				t.Fatalf("class %s of %d has waited %v, runs up to %v", class, classes, gap, longest)
			}
		}
	})
}
