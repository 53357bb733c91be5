package isolation

import (
	"math"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

// Guards against too few servers for the streams or the prompts of the protected class.
func TestNumberOfReservedServers(t *testing.T) {
	equal := func(servers int, slots int, rate float64) *Load {
		load := testLoad(servers)
		for i := range load.Servers {
			load.Servers[i].Slowdown, load.Servers[i].Slots = 1, slots
		}
		load.Classes[shortLevel].Rate = rate
		return load
	}
	for name, test := range map[string]struct {
		load                 *Load
		slots, prefill, want int
	}{
		// 72 requests a second for 1.5 s are 108 streams, 36 for each server, and 50,400 tokens a
		// second, of which a server prefills 20,440 in 0.4 of its time.
		"slots":    {equal(20, 48, 72), 3, 3, 3},
		"prefill":  {equal(20, 480, 72), 1, 3, 3},
		"one more": {equal(20, 48, 72.1), 4, 3, 4},
		// 29.2 requests a second are 20,440 tokens.
		"prefill, one":  {equal(20, 480, 29.1), 1, 1, 1},
		"prefill, more": {equal(20, 480, 29.3), 1, 2, 2},
		"no rate":       {equal(20, 48, 0), 0, 0, 0},
		// Without known slots only prefill counts.
		"unknown slots": {equal(20, 0, 72), 0, 3, 3},
		"all needed":    {equal(20, 48, 7200), 20, 20, 9},
		"of three":      {equal(3, 48, 7200), 3, 3, 1},
		"of two":        {equal(2, 48, 7200), 2, 2, 0},
		"one server":    {equal(1, 48, 7200), 1, 1, 0},
		"no server":     {equal(0, 48, 7200), 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			plan := planAt(activePlanner(), 0, test.load)
			if plan.NeededForSlots != test.slots || plan.NeededForPrefill != test.prefill || plan.Count != test.want {
				t.Errorf("%d for slots, %d for prefill, %d reserved; want %d, %d, %d", plan.NeededForSlots, plan.NeededForPrefill, plan.Count, test.slots, test.prefill, test.want)
			}
			if got := len(reservedKeys(plan, test.load)); got != plan.Count {
				t.Errorf("%d servers are marked, %d counted", got, plan.Count)
			}
		})
	}
	// Some slots are unknown: those servers count as the mean.
	load := equal(20, 48, 72)
	for i := range 10 {
		load.Servers[2*i].Slots = 0
	}
	if plan := planAt(activePlanner(), 0, load); plan.Count != 3 {
		t.Errorf("%d reserved with half of the slots unknown, want 3", plan.Count)
	}
}

// Guards against other classes left without a minimum of capacity, whatever the speeds.
func TestReservedShareOfTheCapacityIsBounded(t *testing.T) {
	load := testLoad(58)
	load.Classes[shortLevel].Rate = 1e6
	plan := planAt(activePlanner(), 0, load)
	if share := budgetedShare(plan, load); share > 0.45 || share < 0.43 {
		t.Errorf("%d servers reserved, %.2f of the capacity", plan.Count, share)
	}
	// The only fast server is over 0.45 of the capacity of two.
	load = testLoad(2)
	load.Classes[shortLevel].Rate = 1e6
	if plan := planAt(activePlanner(), 0, load); plan.Count != 1 || plan.Reserved[0] {
		t.Errorf("reserved %v, want the slower server", plan.Reserved)
	}
}

// Guards against a long prompt that stalls the streams of a slow server for longer.
func TestBudgetFollowsTargetAndSpeed(t *testing.T) {
	load := testLoad(58)
	load.Classes[shortLevel].Rate = 1e6
	plan := planAt(activePlanner(), 0, load)
	for i, budget := range plan.Budget {
		want := math.Inf(1)
		if plan.Reserved[i] {
			want = 0.25 * 300 * 51.1 / load.Servers[i].Slowdown
		}
		if budget != want && math.Abs(budget-want) > 1e-6 {
			t.Errorf("server %d: budget %v, want %v", i, budget, want)
		}
	}
	// The tightest target decides.
	load.Classes[2] = Class{PauseTarget: 150 * time.Millisecond, PrefillTokens: 400, Rate: 5, StreamTime: time.Second}
	p := activePlanner()
	observe(p, testStart, 2, 100, 50)
	plan = planAt(p, 0, load)
	if got, want := plan.Budget[0], 0.25*150*51.1/0.55; !plan.Reserved[0] || math.Abs(got-want) > 1e-6 {
		t.Errorf("budget %v with a second target, want %v", got, want)
	}
}

// Guards against a burst that finds too few servers, and against servers that leave between two
// bursts.
func TestNumberGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	p, load := activePlanner(), testLoad(200)
	usual := planAt(p, 0, load)
	load.Classes[shortLevel].Rate *= 2.5
	burst := planAt(p, 100*time.Millisecond, load)
	if float64(burst.Count) < 2.4*float64(usual.Count) {
		t.Errorf("%d reserved before the burst, %d in it", usual.Count, burst.Count)
	}
	load.Classes[shortLevel].Rate /= 2.5
	for at := 200 * time.Millisecond; at < 30*time.Second; at += 100 * time.Millisecond {
		plan := planAt(p, at, load)
		share := float64(plan.Count-usual.Count) / float64(burst.Count-usual.Count)
		if want := math.Exp(-(at.Seconds() - 0.1) / 4); math.Abs(share-want) > 0.1 {
			t.Fatalf("%v after the burst %.2f of the additional servers are reserved, want %.2f", at, share, want)
		}
	}
}

// Guards against a plan that is out of date about a server that has crashed, or has marks at the
// indices of an earlier list.
func TestChangedListTakesEffectAtOnce(t *testing.T) {
	p, load := activePlanner(), testLoad(40)
	before := planAt(p, 0, load)
	crashed := -1
	for i, reserved := range before.Reserved {
		if reserved {
			crashed = i
		}
	}
	load.Servers[crashed].Usable = false
	plan := planAt(p, time.Millisecond, load)
	if plan.Reserved[crashed] || plan.Count != before.Count {
		t.Errorf("crashed server reserved: %v; %d reserved, %d before", plan.Reserved[crashed], plan.Count, before.Count)
	}
	if plan.Held != 0 {
		t.Errorf("%d servers held, the crashed one has no streams", plan.Held)
	}
	load.Servers[crashed].Usable = true
	load.Servers[0], load.Servers[39] = load.Servers[39], load.Servers[0]
	want := reservedKeys(before, testLoad(40))
	for key := range reservedKeys(planAt(p, 2*time.Millisecond, load), load) {
		if !want[key] {
			t.Errorf("server %d is reserved after two servers have swapped places in the list", key)
		}
	}
}

// Guards against a decision for each request: only a change of the list makes a new one within
// planInterval.
func TestDecisionIsKeptForAnInterval(t *testing.T) {
	p, load := activePlanner(), testLoad(40)
	load.Servers[7].Usable = false
	before := planAt(p, 0, load)
	load.Classes[shortLevel].Rate *= 10
	if plan := planAt(p, planInterval-time.Millisecond, load); plan.Count != before.Count {
		t.Errorf("%d reserved before the interval has passed, %d before", plan.Count, before.Count)
	}
	if plan := planAt(p, planInterval, load); plan.Count <= before.Count {
		t.Errorf("%d reserved after the interval, %d before", plan.Count, before.Count)
	}
}

// Guards against values that make no sense: they count as unknown and never mark a server that isn't
// usable, over 0.45 of the capacity, or a budget that isn't positive.
func TestAbsurdInputs(t *testing.T) {
	absurd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, math.MaxFloat64, math.SmallestNonzeroFloat64}
	durations := []time.Duration{math.MinInt64, -1, 0, 1, math.MaxInt64}
	for _, servers := range []int{0, 1, 2, 41} {
		for _, value := range absurd {
			for _, d := range durations {
				for field := range 8 {
					load := testLoad(servers)
					setAbsurd(load, field, value, d)
					p := activePlanner()
					checkSane(t, p, testStart, load)
					checkSane(t, p, testStart.Add(-time.Hour), load)
					checkSane(t, p, testStart.Add(time.Second), testLoad(servers))
				}
			}
		}
	}
	if plan := (&Planner{}).Plan(time.Time{}, &Load{}); plan.Count != 0 {
		t.Errorf("plan without input: %+v", plan)
	}
}

// setAbsurd sets one of eight fields of a load to an absurd value.
func setAbsurd(load *Load, field int, value float64, d time.Duration) {
	short, long := &load.Classes[shortLevel], &load.Classes[longLevel]
	switch field {
	case 0:
		short.Rate = value
	case 1:
		short.PrefillTokens = value
	case 2:
		long.PrefillTokens = value
	case 3:
		load.PrefillRate = value
	case 4:
		short.PauseTarget = d
	case 5:
		short.StreamTime = d
	case 6, 7:
		for i := range load.Servers {
			if i%2 == 0 || field == 7 {
				load.Servers[i].Slowdown, load.Servers[i].Slots = value, int(d)
			}
		}
	}
}

func checkSane(t *testing.T, p *Planner, now time.Time, load *Load) {
	t.Helper()
	plan := p.Plan(now, load)
	if len(plan.Reserved) != len(load.Servers) || len(plan.Budget) != len(load.Servers) {
		t.Fatalf("plan for %d of %d servers", len(plan.Reserved), len(load.Servers))
	}
	for i := range load.Servers {
		if plan.Reserved[i] && !load.Servers[i].Usable || !(plan.Budget[i] > 0) {
			t.Fatalf("server %d: reserved %v, budget %v", i, plan.Reserved[i], plan.Budget[i])
		}
	}
	if share := budgetedShare(plan, load); share > 0.45+1e-6 {
		t.Fatalf("%.3f of the capacity is restricted", share)
	}
	for _, value := range []float64{plan.RunningStreams, plan.PrefillTokensPerSecond, plan.LateShare, plan.RecentStreams} {
		if math.IsNaN(value) || value < 0 {
			t.Fatalf("plan has absurd figures: %+v", plan)
		}
	}
}

// Guards against servers that are reserved although they accept no requests.
func TestUnusableServersAreNotReserved(t *testing.T) {
	p, load := activePlanner(), testLoad(40)
	if plan := planAt(p, 0, load); plan.Count == 0 {
		t.Fatal("no server is reserved")
	}
	for i := range load.Servers {
		load.Servers[i].Usable = false
	}
	if plan := planAt(p, time.Millisecond, load); plan.Count != 0 || plan.Held != 0 {
		t.Errorf("%d reserved, %d held", plan.Count, plan.Held)
	}
	var none [policy.UrgencyLevels]bool
	if plan := planAt(&Planner{}, 0, load); plan.Protected != none || plan.Bound != none {
		t.Errorf("protected %v, bound %v without evidence", plan.Protected, plan.Bound)
	}
}
