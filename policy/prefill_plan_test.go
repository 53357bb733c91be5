package policy

import (
	"testing"
	"time"
)

// Guards against counting tokens that a server has already prefilled. At 40 tokens per
// millisecond, with 4,000 tokens of others ahead, a prompt of 2,000 tokens is prefilled from
// 120 to 170 ms after it was sent.
func TestPrefillPlanCountsRemainingTokens(t *testing.T) {
	var r *PrefillRate
	plan := r.Plan(testStart, 2000, 6000)
	for _, c := range []struct {
		after     time.Duration
		remaining int
	}{
		{0, 2000}, {120 * time.Millisecond, 2000}, {145 * time.Millisecond, 1000}, {160 * time.Millisecond, 500},
		{170 * time.Millisecond, 500}, {time.Second, 500},
	} {
		if got := plan.Remaining(testStart.Add(c.after)); got != c.remaining {
			t.Errorf("%v after sending %d tokens remain, want %d", c.after, got, c.remaining)
		}
	}
	if got := r.Plan(testStart, 0, 0).Remaining(testStart.Add(time.Second)); got != 0 {
		t.Errorf("%d tokens remain of a request without a prompt", got)
	}
}

// Guards against refusing a request that would be in time: two half-prefilled prompts leave
// time for a third one, which two complete prompts wouldn't.
func TestPrefilledTokensMakeRoom(t *testing.T) {
	c, servers := newTestChooser(), idleServers(1)
	job := Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 4000}
	var r *PrefillRate
	pending := func(now time.Time) int {
		return r.Plan(testStart, 5000, 5000).Remaining(now) + r.Plan(testStart, 6000, 11_000).Remaining(now)
	}
	level := &servers[0].Pending[4]
	level.Requests, level.Tokens = 2, pending(testStart)
	if choice := c.Choose(testStart, job, servers, r); choice.InTime {
		t.Errorf("admitted at once with %d tokens ahead", level.Tokens)
	}
	later := testStart.Add(200 * time.Millisecond)
	level.Tokens = pending(later)
	if choice := c.Choose(later, job, servers, r); !choice.InTime {
		t.Errorf("refused with %d of 11,000 tokens remaining", level.Tokens)
	}
}
