package isolation

import (
	"fmt"
	"math"
	"time"

	"github.com/applepier/applepier/policy"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	shortLevel = 3
	longLevel  = 4
)

// testLoad returns a load like that of the first deployment in docs/LOAD-DECISIONS.md: one server
// in four is fast.
func testLoad(servers int) *Load {
	load := &Load{PrefillRate: 51.1}
	load.Classes[shortLevel] = Class{PauseTarget: 300 * time.Millisecond, PrefillTokens: 700, Rate: 2 * float64(servers), StreamTime: 1500 * time.Millisecond}
	load.Classes[longLevel] = Class{PauseTarget: 500 * time.Millisecond, PrefillTokens: 4500, Rate: 3 * float64(servers), StreamTime: 300 * time.Millisecond}
	for i := range servers {
		slowdown := 1.2
		if i%4 == 0 {
			slowdown = 0.55
		}
		load.Servers = append(load.Servers, Server{Key: policy.KeyOf(fmt.Sprintf("srv-%d", i)), Slots: 48, Slowdown: slowdown, Usable: true})
	}
	return load
}

// observe records streams, some of which are late.
func observe(p *Planner, now time.Time, urgency, streams, late int) {
	p.ObserveStreams(now, urgency, late, streams-late)
}

// activePlanner returns a Planner with evidence that streams of shortLevel are late.
func activePlanner() *Planner {
	p := &Planner{}
	observe(p, testStart, shortLevel, 100, 50)
	return p
}

// planAt returns the plan at a time after testStart.
func planAt(p *Planner, after time.Duration, load *Load) Plan {
	return p.Plan(testStart.Add(after), load)
}

// reservedKeys returns the keys of the reserved servers.
func reservedKeys(plan Plan, load *Load) map[policy.Key]bool {
	keys := map[policy.Key]bool{}
	for i, reserved := range plan.Reserved {
		if reserved {
			keys[load.Servers[i].Key] = true
		}
	}
	return keys
}

// budgetedShare returns the share of the usable servers, weighted by speed, that has a budget.
func budgetedShare(plan Plan, load *Load) float64 {
	budgeted, total := 0.0, 0.0
	for i := range load.Servers {
		if s := &load.Servers[i]; s.Usable {
			total += s.weight()
			if !math.IsInf(plan.Budget[i], 1) {
				budgeted += s.weight()
			}
		}
	}
	return budgeted / max(total, 1e-9)
}
