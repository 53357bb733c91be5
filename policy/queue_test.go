package policy

import (
	"fmt"
	"testing"
	"time"
)

var testStart = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// fillQueue offers tickets of a class until the queue is full.
func fillQueue(t *testing.T, s *Scheduler, class string, tier Tier) {
	t.Helper()
	for i := 0; s.Load().Waiting < maxQueuedTickets; i++ {
		id := fmt.Sprintf("%s-%d", class, i)
		if !s.Offer(testStart, Ticket{ID: id, Class: class, Customer: "large", Tier: tier}).Admitted {
			t.Fatalf("ticket %s was refused with %d waiting", id, s.Load().Waiting)
		}
	}
}

// warmUp completes a few runs, so that the Scheduler knows the service rate of
// its engine.
func warmUp(s *Scheduler) {
	for i := range 20 {
		id := fmt.Sprintf("warm-%d", i)
		s.Offer(testStart, Ticket{ID: id, Class: "warm", Size: 100})
		s.Next(testStart)
		s.Started(testStart, id)
		s.Finished(testStart.Add(time.Second), id, OutcomeComplete)
	}
}

func TestFullQueueDisplacesForUrgentTicket(t *testing.T) {
	s := NewScheduler()
	warmUp(s)
	fillQueue(t, s, "summary", 4)
	d := s.Offer(testStart, Ticket{ID: "flag", Class: "flag", Tier: TopTier})
	if !d.Admitted || len(d.Displaced) != 1 || d.Displaced[0] != fmt.Sprintf("summary-%d", maxQueuedTickets-1) {
		t.Fatalf("decision %+v, want the newest ticket displaced", d)
	}
}

// TestFullQueueOfTopTier checks that a queue full of top-tier tickets refuses more
// tickets of the customer that fills it, but neither those of other customers nor the
// only ticket of a class or a resumed run.
func TestFullQueueOfTopTier(t *testing.T) {
	s := NewScheduler()
	warmUp(s)
	fillQueue(t, s, "flag", TopTier)
	if d := s.Offer(testStart, Ticket{ID: "f", Class: "flag", Customer: "large", Tier: TopTier}); d.Admitted || !d.QueueFull {
		t.Errorf("ticket of the customer that fills the queue: decision %+v, want refused as full", d)
	}
	if d := s.Offer(testStart, Ticket{ID: "g", Class: "flag", Customer: "small", Tier: TopTier}); !d.Admitted {
		t.Errorf("ticket of a customer with nothing waiting: decision %+v, want admitted", d)
	}
	if d := s.Offer(testStart, Ticket{ID: "s", Class: "summary", Tier: 4}); !d.Admitted || len(d.Displaced) > 0 {
		t.Errorf("only ticket of a class without a grant: decision %+v, want admitted without displacement", d)
	}
	s.Resume(testStart, Ticket{ID: "r", Class: "query", Tier: 3})
	if s.Load().Waiting != maxQueuedTickets+2 {
		t.Errorf("%d tickets waiting, want %d", s.Load().Waiting, maxQueuedTickets+2)
	}
}

func TestRetryAfterGrowsWithRefusals(t *testing.T) {
	s := NewScheduler()
	warmUp(s)
	previous := time.Duration(0)
	for i := range 400 {
		d := s.Offer(testStart.Add(time.Second), Ticket{
			ID: fmt.Sprint(i), Class: "question", Tier: 2, Size: 100,
			Deadline: testStart.Add(6 * time.Second),
		})
		if d.Admitted {
			continue
		}
		if d.RetryAfter < previous {
			t.Fatalf("refusal %d has RetryAfter %v, the previous one %v", i, d.RetryAfter, previous)
		}
		previous = d.RetryAfter
	}
	if previous < 10*time.Second {
		t.Errorf("last refusal has RetryAfter %v, want at least 10s", previous)
	}
}

func TestLeastSlackFirstWithinLead(t *testing.T) {
	s := NewScheduler()
	for i := range 3 {
		s.Offer(testStart, Ticket{ID: fmt.Sprint("slow", i), Class: "slow", Tier: 2, Deadline: testStart.Add(time.Minute)})
		s.Offer(testStart, Ticket{ID: fmt.Sprint("fast", i), Class: "fast", Tier: 2, Deadline: testStart.Add(time.Second)})
	}
	for _, want := range []string{"fast0", "fast1", "fast2", "slow0"} {
		if got, _ := s.Next(testStart); got.ID != want {
			t.Fatalf("granted %s, want %s", got.ID, want)
		}
	}
}

// TestIdleSlowEngineAdmitsTickets guards against an engine that refuses all
// tickets after a slow period: idle, it would never be observed to be fast again.
func TestIdleSlowEngineAdmitsTickets(t *testing.T) {
	for _, milestone := range []Milestone{MilestoneFirstToken, MilestoneCompletion} {
		s := NewScheduler()
		now := testStart
		for i := range 20 {
			id := fmt.Sprint(i)
			s.Offer(now, Ticket{ID: id, Class: "question", Tier: 2, Size: 100})
			s.Next(now)
			s.Started(now, id)
			now = now.Add(30 * time.Second)
			s.Tokens(now, id, 1)
			now = now.Add(30 * time.Second)
			s.Finished(now, id, OutcomeComplete)
		}
		for i := range 5 {
			d := s.Offer(now, Ticket{
				ID: fmt.Sprint("new", i), Class: "question", Tier: 2, Size: 100,
				Deadline: now.Add(10 * time.Second), DeadlineMilestone: milestone,
			})
			if !d.Admitted {
				t.Errorf("milestone %d: ticket %d refused on an idle engine: %+v", milestone, i, d)
			}
			s.Next(now)
		}
	}
}
