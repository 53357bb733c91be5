package dutymodel

import (
	"flag"
	"strings"
	"testing"
	"time"
)

// wholeFlag enables the large exploration, of about a minute: go test ./dutymodel -whole.
var wholeFlag = flag.Bool("whole", false, "explore millions of states")

// shortBounds limits the exploration in CI, and wholeBounds that with -whole, of about a minute.
var (
	shortBounds = Bounds{Gateways: 3, Windows: 2, Kills: 1, Writes: 5, States: 150_000}
	wholeBounds = Bounds{Gateways: 3, Windows: 2, Kills: 2, Writes: 6, States: 1_500_000}
	// smallBounds and lateWriteBounds explore two gateways and one window to a greater depth.
	// lateWriteBounds reaches the greatest depth, because only writes can be late and no gateway
	// is killed.
	lateWriteBounds = Bounds{Gateways: 2, Windows: 1, Writes: 6, States: 6_000_000, SnapshotAtStart: true, NoLostResponses: true}
	smallBounds     = Bounds{Gateways: 2, Windows: 1, Kills: 1, Writes: 5, States: 3_000_000}
)

// inDepthStates is the number of states of two gateways that are explored in CI. It is enough to
// reach a violation after the removal of any one guard.
const inDepthStates = 500_000

// Guards against a protocol that violates an invariant with three gateways and two windows.
func TestProtocolHolds(t *testing.T) {
	bounds := shortBounds
	if *wholeFlag {
		bounds = wholeBounds
	}
	start := time.Now()
	r := Explore(AllGuards(), bounds)
	if r.Violation != "" {
		t.Errorf("%s:\n%s", r.Violation, strings.Join(r.Steps, "\n"))
	}
	t.Logf("%d states to depth %d in %v, complete: %v", r.States, r.Depth, time.Since(start), r.Complete)
}

// Guards against violations that only longer sequences of steps reach: two gateways and one window
// are explored to a greater depth.
func TestProtocolHoldsInDepth(t *testing.T) {
	for name, bounds := range map[string]Bounds{"all": smallBounds, "late writes": lateWriteBounds} {
		if !*wholeFlag {
			bounds.States = min(bounds.States, inDepthStates)
		}
		r := Explore(AllGuards(), bounds)
		if r.Violation != "" {
			t.Errorf("%s:\n%s", r.Violation, strings.Join(r.Steps, "\n"))
		}
		t.Logf("%s: %d states to depth %d, complete: %v", name, r.States, r.Depth, r.Complete)
	}
}

// Guards against invariants or steps that are too weak to detect a missing guard: without any one
// of the guards, some reachable state must violate an invariant.
func TestEachGuardIsNeeded(t *testing.T) {
	cases := map[string]func(*Guards){
		"conditional writes": func(g *Guards) { g.ConditionalWrites = false },
		"write ahead":        func(g *Guards) { g.WriteAhead = false },
		"step down":          func(g *Guards) { g.StepDown = false },
		"era in token":       func(g *Guards) { g.EraInToken = false },
		"era in ledger":      func(g *Guards) { g.EraInLedger = false },
		"era of response":    func(g *Guards) { g.EraOfResponse = false },
		"row per era":        func(g *Guards) { g.RowPerEra = false },
		"adopt ledger":       func(g *Guards) { g.AdoptLedger = false },
	}
	for name, remove := range cases {
		t.Run(name, func(t *testing.T) {
			guards := AllGuards()
			remove(&guards)
			bounds := smallBounds
			bounds.States = inDepthStates
			r := Explore(guards, bounds)
			if r.Violation == "" {
				r = Explore(guards, lateWriteBounds)
			}
			if r.Violation == "" {
				t.Fatalf("no violation in %d states to depth %d, complete: %v", r.States, r.Depth, r.Complete)
			}
			t.Logf("%s, after %d steps, %d states:\n%s", r.Violation, len(r.Steps), r.States, strings.Join(r.Steps, "\n"))
		})
	}
}
