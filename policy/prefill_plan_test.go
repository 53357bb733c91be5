package policy

import (
	"testing"
	"time"
)

// At 40 tokens a millisecond, behind 4,000 tokens, 2,000 are read from 120 to
// 170 ms after they were sent.
func TestPrefillPlanCountsWhatIsLeft(t *testing.T) {
	var r *PrefillRate
	plan := r.Plan(testStart, 2000, 6000)
	for _, c := range []struct {
		after time.Duration
		left  int
	}{
		{0, 2000}, {120 * time.Millisecond, 2000}, {145 * time.Millisecond, 1000}, {160 * time.Millisecond, 500},
		{170 * time.Millisecond, 500}, {time.Second, 500},
	} {
		if got := plan.Left(testStart.Add(c.after)); got != c.left {
			t.Errorf("%v after it was sent %d tokens are left, want %d", c.after, got, c.left)
		}
	}
	if got := r.Plan(testStart, 0, 0).Left(testStart.Add(time.Second)); got != 0 {
		t.Errorf("%d tokens are left of a call without a prompt", got)
	}
}

// Two prompts that are half read leave room for a third that two whole ones
// would not.
func TestWhatHasBeenReadMakesRoom(t *testing.T) {
	c, servers := newTestChooser(), serversOf(1)
	job := Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 4000}
	var r *PrefillRate
	pending := func(now time.Time) int {
		return r.Plan(testStart, 5000, 5000).Left(now) + r.Plan(testStart, 6000, 11_000).Left(now)
	}
	level := &servers[0].Pending[4]
	level.Requests, level.Tokens = 2, pending(testStart)
	if choice := c.Choose(testStart, job, servers, r); choice.InTime {
		t.Errorf("let in at once behind %d tokens", level.Tokens)
	}
	later := testStart.Add(200 * time.Millisecond)
	level.Tokens = pending(later)
	if choice := c.Choose(later, job, servers, r); !choice.InTime {
		t.Errorf("refused behind %d tokens that are left of 11,000", level.Tokens)
	}
}
