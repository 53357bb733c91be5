package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestStraggler simulates eight engines at 0.6 of their capacity, one of which is five
// or ten times slower, from the start or after a minute. Guards against late hazard
// flags: the slow engine often has a free slot first, but its first tokens miss the
// target.
func TestStraggler(t *testing.T) {
	t.Parallel()
	for _, slowdown := range []float64{5, 10} {
		for _, slowAfter := range []time.Duration{0, time.Minute} {
			t.Run(fmt.Sprintf("x%v after %v", slowdown, slowAfter), func(t *testing.T) {
				t.Parallel()
				simulateStraggler(t, slowdown, slowAfter)
			})
		}
	}
}

// simulateStraggler runs two seeds; at most one hazard flag in 200 may be late.
func simulateStraggler(t *testing.T, slowdown float64, slowAfter time.Duration) {
	offered, late := 0, 0
	for seed := range uint64(2) {
		engines := newFakeEngines(8, 4)
		sim := newSimulation(seed, engines...)
		sim.clock.afterFunc(slowAfter, func() { engines[0].slowdown = slowdown })
		f, q := flagWorkload(constantRate(12)), questionWorkload(constantRate(0.5*7*engines[1].capacity(questionWorkload(nil))))
		f.promptTokens, f.firstToken = 300, 300*time.Millisecond
		sim.run(3*time.Minute, time.Second*10, f, q)
		stats := sim.stats("flag")
		offered, late = offered+stats.offered, late+stats.offered-stats.onTime
	}
	t.Logf("slowdown %v after %v: %d of %d hazard flags late", slowdown, slowAfter, late, offered)
	if late*200 > offered {
		t.Errorf("slowdown %v after %v: %d of %d hazard flags late", slowdown, slowAfter, late, offered)
	}
}

// schedulerWithFirstToken returns the scheduler of an engine on which each of four runs
// took firstToken to its first token, and the time after these runs.
func schedulerWithFirstToken(firstToken time.Duration) (*Scheduler, time.Time) {
	s, now := NewScheduler(), testStart
	for range 4 {
		s.Offer(now, Ticket{ID: "slow", Class: "flag"})
		s.Next(now)
		s.Started(now, "slow")
		now = now.Add(firstToken)
		s.Tokens(now, "slow", 1)
		s.Finished(now, "slow", OutcomeComplete)
	}
	return s, now
}

// TestDeferral checks how long an engine that is likely to miss a ticket's target leaves
// the ticket to the other engines with a copy.
func TestDeferral(t *testing.T) {
	for name, c := range map[string]struct {
		firstToken time.Duration
		copies     int
		want       time.Duration
	}{
		"fast":          {50 * time.Millisecond, 3, 0},
		"may be late":   {250 * time.Millisecond, 3, atRiskDeferral},
		"just in time":  {290 * time.Millisecond, 3, 10 * time.Millisecond},
		"usually late":  {400 * time.Millisecond, 3, likelyLateDeferral},
		"the only copy": {400 * time.Millisecond, 1, 0},
	} {
		s, now := schedulerWithFirstToken(c.firstToken)
		flag := Ticket{ID: "f", Class: "flag", Deadline: now.Add(300 * time.Millisecond), DeadlineMilestone: MilestoneFirstToken, Copies: c.copies}
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
