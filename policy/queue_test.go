package policy

import (
	"fmt"
	"testing"
	"time"
)

var testStart = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// fill offers tickets of a class until the queue is full.
func fill(t *testing.T, s *Scheduler, class string, tier Tier) {
	t.Helper()
	for i := 0; s.Load().Waiting < maxWaiting; i++ {
		id := fmt.Sprintf("%s-%d", class, i)
		if !s.Offer(testStart, Ticket{ID: id, Class: class, Customer: "large", Tier: tier}).Admitted {
			t.Fatalf("%s refused with %d waiting", id, s.Load().Waiting)
		}
	}
}

// warm lets a Scheduler see a few runs, so that it knows its engine's rate.
func warm(s *Scheduler) {
	for i := range 20 {
		id := fmt.Sprintf("warm-%d", i)
		s.Offer(testStart, Ticket{ID: id, Class: "warm", Size: 100})
		s.Next(testStart)
		s.Started(testStart, id)
		s.Finished(testStart.Add(time.Second), id, OutcomeWhole)
	}
}

func TestFullQueueGivesWayToUrgent(t *testing.T) {
	s := NewScheduler()
	warm(s)
	fill(t, s, "summary", 4)
	d := s.Offer(testStart, Ticket{ID: "flag", Class: "flag", Tier: TopTier})
	if !d.Admitted || len(d.Displaced) != 1 || d.Displaced[0] != fmt.Sprintf("summary-%d", maxWaiting-1) {
		t.Fatalf("got %+v", d)
	}
}

func TestFullQueueOfTopTier(t *testing.T) {
	s := NewScheduler()
	warm(s)
	fill(t, s, "flag", TopTier)
	if d := s.Offer(testStart, Ticket{ID: "f", Class: "flag", Customer: "large", Tier: TopTier}); d.Admitted || !d.Full {
		t.Errorf("the same customer: got %+v", d)
	}
	if d := s.Offer(testStart, Ticket{ID: "g", Class: "flag", Customer: "small", Tier: TopTier}); !d.Admitted {
		t.Errorf("a customer with nothing waiting: got %+v", d)
	}
	if d := s.Offer(testStart, Ticket{ID: "s", Class: "summary", Tier: 4}); !d.Admitted || len(d.Displaced) > 0 {
		t.Errorf("the only ticket of a class that got nothing: got %+v", d)
	}
	s.Resume(testStart, Ticket{ID: "r", Class: "query", Tier: 3})
	if s.Load().Waiting != maxWaiting+2 {
		t.Errorf("%d waiting", s.Load().Waiting)
	}
}

func TestRefusalStatesTime(t *testing.T) {
	s := NewScheduler()
	warm(s)
	last := time.Duration(0)
	for i := range 400 {
		d := s.Offer(testStart.Add(time.Second), Ticket{
			ID: fmt.Sprint(i), Class: "question", Tier: 2, Size: 100,
			Deadline: testStart.Add(6 * time.Second),
		})
		if d.Admitted {
			continue
		}
		if d.RetryAfter < last {
			t.Fatalf("refusal %d is told %v, the one before %v", i, d.RetryAfter, last)
		}
		last = d.RetryAfter
	}
	if last < 10*time.Second {
		t.Errorf("the last is told %v", last)
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

// TestSlowEngineIsTriedAgain: an engine that was slow refuses nothing while
// it is idle, or it would never be seen to be fast again.
func TestSlowEngineIsTriedAgain(t *testing.T) {
	for _, due := range []Milestone{MilestoneFirstToken, MilestoneCompletion} {
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
			s.Finished(now, id, OutcomeWhole)
		}
		for i := range 5 {
			d := s.Offer(now, Ticket{
				ID: fmt.Sprint("new", i), Class: "question", Tier: 2, Size: 100,
				Deadline: now.Add(10 * time.Second), Due: due,
			})
			if !d.Admitted {
				t.Errorf("milestone %d: ticket %d refused on an idle engine: %+v", due, i, d)
			}
			s.Next(now)
		}
	}
}
