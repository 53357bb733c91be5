package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestStraggler plays eight engines at 0.6 of what they can do, one of which is
// five and ten times slower than the others, from the start or from the middle
// on: it has room at once, and its first tokens miss the target.
func TestStraggler(t *testing.T) {
	t.Parallel()
	for _, slow := range []float64{5, 10} {
		for _, from := range []time.Duration{0, time.Minute} {
			t.Run(fmt.Sprintf("x%v after %v", slow, from), func(t *testing.T) {
				t.Parallel()
				playStraggler(t, slow, from)
			})
		}
	}
}

func playStraggler(t *testing.T, slow float64, from time.Duration) {
	offered, late := 0, 0
	for seed := range uint64(2) {
		engines := fleet(8, 4)
		p := newPlay(seed, engines...)
		p.clock.after(from, func() { engines[0].slow = slow })
		f, q := flags(steady(12)), questions(steady(0.5*7*engines[1].capacity(questions(nil))))
		f.prompt, f.firstToken = 300, 300*time.Millisecond
		p.run(3*time.Minute, time.Second*10, f, q)
		got := p.tally("flag")
		offered, late = offered+got.offered, late+got.offered-got.onTime
	}
	t.Logf("slow %v from %v: %d of %d hazard flags late", slow, from, late, offered)
	if late*200 > offered {
		t.Errorf("slow %v from %v: %d of %d hazard flags late", slow, from, late, offered)
	}
}

// slowScheduler is that of an engine whose first tokens take a while.
func slowScheduler(firstToken time.Duration) (*Scheduler, time.Time) {
	s, now := NewScheduler(), testStart
	for range 4 {
		s.Offer(now, Ticket{ID: "slow", Class: "flag"})
		s.Next(now)
		s.Started(now, "slow")
		now = now.Add(firstToken)
		s.Tokens(now, "slow", 1)
		s.Finished(now, "slow", OutcomeWhole)
	}
	return s, now
}

func TestHoldBack(t *testing.T) {
	for name, c := range map[string]struct {
		firstToken time.Duration
		copies     int
		want       time.Duration
	}{
		"fast":          {50 * time.Millisecond, 3, 0},
		"may be late":   {250 * time.Millisecond, 3, holdRisky},
		"just in time":  {290 * time.Millisecond, 3, 10 * time.Millisecond},
		"usually late":  {400 * time.Millisecond, 3, holdHopeless},
		"the only copy": {400 * time.Millisecond, 1, 0},
	} {
		s, now := slowScheduler(c.firstToken)
		flag := Ticket{ID: "f", Class: "flag", Deadline: now.Add(300 * time.Millisecond), Due: MilestoneFirstToken, Copies: c.copies}
		s.Offer(now, flag)
		_, ok := s.Next(now)
		if ok != (c.want == 0) {
			t.Errorf("%s: granted at once: %v", name, ok)
		}
		if ok {
			continue
		}
		granted := now
		for ; !ok; _, ok = s.Next(granted) {
			granted, _ = s.NextWake(granted)
		}
		if granted.Sub(now) != c.want {
			t.Errorf("%s: granted after %v, want %v", name, granted.Sub(now), c.want)
		}
	}
}
