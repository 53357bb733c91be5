package isolation

import (
	"math"
	"testing"
	"time"
)

// Guards against long prompts that stall the streams of servers that have just left the
// reservation, and against budgets that never end.
func TestServersThatLeaveKeepTheirBudget(t *testing.T) {
	p, load := activePlanner(), testLoad(200)
	load.Classes[shortLevel].Rate *= 2
	most := planAt(p, 0, load)
	load.Classes[shortLevel].Rate /= 10
	leftAt := map[int]time.Duration{}
	for at := 100 * time.Millisecond; at < 30*time.Second; at += 100 * time.Millisecond {
		plan := planAt(p, at, load)
		held := 0
		for i := range load.Servers {
			if !most.Reserved[i] || plan.Reserved[i] {
				continue
			}
			if _, left := leftAt[i]; !left {
				leftAt[i] = at
			}
			// The last decision that reserved the server was 100 ms before it left.
			bounded := !math.IsInf(plan.Budget[i], 1)
			if want := at-leftAt[i]+100*time.Millisecond < 3*time.Second; bounded != want {
				t.Fatalf("%v after server %d has left its budget is %v", at-leftAt[i], i, plan.Budget[i])
			}
			if bounded {
				held++
			}
		}
		if held != plan.Held {
			t.Fatalf("%d servers held, %d counted", held, plan.Held)
		}
	}
	if len(leftAt) < 10 || len(p.holds) != planAt(p, 30*time.Second, load).Count {
		t.Errorf("%d servers have left, %d budgets are remembered", len(leftAt), len(p.holds))
	}
}

// Guards against running streams that are stalled when the reservation ends as a whole.
func TestBudgetsOutlastTheReservation(t *testing.T) {
	p, load := activePlanner(), testLoad(40)
	for at := time.Duration(0); at < 120*time.Second; at += 100 * time.Millisecond {
		observe(p, testStart.Add(at), shortLevel, 10, 0)
		plan := planAt(p, at, load)
		if plan.Bound[longLevel] != (plan.Count+plan.Held > 0) {
			t.Fatalf("%v: long prompts bound: %v, with %d servers reserved and %d held", at, plan.Bound[longLevel], plan.Count, plan.Held)
		}
	}
	if plan := planAt(p, 120*time.Second, load); plan.Count+plan.Held > 0 || len(p.holds) > 0 {
		t.Errorf("%d reserved, %d held after the end", plan.Count, plan.Held)
	}
}

// Guards against more than 0.45 of the capacity with budgets when the order of servers changes.
func TestReservedAndHeldServersAreBounded(t *testing.T) {
	p, load := activePlanner(), testLoad(60)
	load.Classes[shortLevel].Rate = 1e6
	for step := range 40 {
		for i := range load.Servers {
			load.Servers[i].Slowdown = 1.2
			if (i+step)%4 == 0 {
				load.Servers[i].Slowdown = 0.55
			}
			load.Servers[i].Usable = (i+step)%7 != 0
		}
		plan := planAt(p, time.Duration(step)*200*time.Millisecond, load)
		if share := budgetedShare(plan, load); share > 0.45+1e-6 {
			t.Fatalf("step %d: %.3f of the capacity is restricted, %d reserved, %d held", step, share, plan.Count, plan.Held)
		}
	}
}

// Guards against a hold without end for a mean stream time that makes no sense.
func TestHoldTimeIsBounded(t *testing.T) {
	for streamTime, want := range map[time.Duration]time.Duration{-1: 0, 0: 0, time.Second: 2 * time.Second, math.MaxInt64: maxHold, math.MinInt64: 0} {
		if got := holdTime(streamTime); got != want {
			t.Errorf("hold of %v for streams of %v, want %v", got, streamTime, want)
		}
	}
}
