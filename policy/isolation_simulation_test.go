package policy_test

import (
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/policy/isolation"
)

// simPlanner adapts a Planner to the simulation.
type simPlanner struct{ isolation.Planner }

func (p *simPlanner) Plan(now time.Time, load *policy.SimLoad) policy.SimPlan {
	in := isolation.Load{PrefillRate: load.PrefillRate}
	for i, c := range load.Classes {
		in.Classes[i] = isolation.Class(c)
	}
	for i := range load.Servers {
		s := &load.Servers[i]
		in.Servers = append(in.Servers, isolation.Server{Key: policy.KeyOf(s.Name), Slots: s.Slots, Slowdown: load.Slowdowns[i], Usable: true})
	}
	plan := p.Planner.Plan(now, &in)
	return policy.SimPlan{Protected: plan.Protected, Bound: plan.Bound, Reserved: plan.Reserved, Budget: plan.Budget, MaxWaitingTokens: plan.MaxWaitingTokens, Count: plan.Count}
}

func newSimPlanner() policy.SimPlanner { return &simPlanner{} }

// The bounds of docs/LOAD-DECISIONS.md for the first deployment.
const (
	minShortOnTime = 0.85
	maxLongLoss    = 0.03
)

// Guards against long prefills that stall streams with a tight pause target, and against a protection
// at the expense of long prompts. The load is that of long prompts at half of the prefill capacity,
// and two short prompts a second for each server. The bounds apply to all draws together: the share
// of long prompts in one draw of 20 s varies by 0.01.
func TestReservationsKeepStreamsOnTime(t *testing.T) {
	const draws, servers, gateways, load = 4, 58, 29, 0.5
	var with, without [draws]*policy.SimResult
	var done sync.WaitGroup
	for i := range draws {
		done.Go(func() {
			without[i] = policy.SimulateReservations(uint64(i), servers, gateways, load, nil)
			with[i] = policy.SimulateReservations(uint64(i), servers, gateways, load, newSimPlanner)
		})
	}
	done.Wait()
	mean := func(results [draws]*policy.SimResult, class string) float64 {
		sum := 0.0
		for _, r := range results {
			sum += r.Share(class) / draws
		}
		return sum
	}
	for i := range draws {
		t.Logf("draw %d: short prompts on time %.3f, without reservations %.3f; long ones %.3f, without %.3f; %.1f servers reserved",
			i, with[i].Share("short"), without[i].Share("short"), with[i].Share("long"), without[i].Share("long"), with[i].Reserved)
	}
	if share := mean(with, "short"); share < minShortOnTime {
		t.Errorf("%.3f of the short prompts on time, want %v", share, minShortOnTime)
	}
	if loss := mean(without, "long") - mean(with, "long"); loss > maxLongLoss {
		t.Errorf("%.3f fewer of the long prompts on time than without reservations, at most %v are allowed", loss, maxLongLoss)
	}
	if share := mean(without, "short"); share >= minShortOnTime {
		t.Errorf("%.3f of the short prompts on time without reservations: the test shows nothing", share)
	}
}

// minLongestShare is the rule of docs/LOAD-DECISIONS.md: the longest tenth of a class's prompts is served
// at least half as often as the class.
const minLongestShare = 0.5

// Guards against the longest prompts being refused in an overload, since they fit no budget of a
// reserved server. The load is that of long prompts at two and four times the prefill capacity.
func TestLongestPromptsAreServedBesideReservations(t *testing.T) {
	for _, load := range []float64{2, 4} {
		result := policy.SimulateReservations(1, 58, 29, load, newSimPlanner)
		served := float64(result.Started["long"]) / float64(result.Arrived["long"])
		t.Logf("load %v: %.3f of the long prompts served, %.3f of the longest tenth", load, served, result.LongestStarted)
		if result.LongestStarted < minLongestShare*served {
			t.Errorf("load %v: %.3f of the longest tenth served, %.3f of all long prompts", load, result.LongestStarted, served)
		}
	}
}
