package dutymodel

import (
	"flag"
	"strings"
	"testing"
	"time"
)

// wholeFlag explores all that a minute allows: go test ./dutymodel -whole.
var wholeFlag = flag.Bool("whole", false, "explore millions of states")

// short bounds what CI explores, whole all that a minute allows.
var (
	short = Bounds{Gateways: 3, Windows: 2, Kills: 1, Writes: 5, States: 150_000}
	whole = Bounds{Gateways: 3, Windows: 2, Kills: 2, Writes: 6, States: 1_500_000}
	// small reaches further: what two gateways can do to one window.
	// late reaches furthest: only writes are late.
	late  = Bounds{Gateways: 2, Windows: 1, Writes: 6, States: 6_000_000, Copied: true, Answered: true}
	small = Bounds{Gateways: 2, Windows: 1, Kills: 1, Writes: 5, States: 3_000_000}
)

// inDepth is how many states of fewer gateways are explored in CI; the longest way to a
// break without a guard is within it.
const inDepth = 500_000

// What must hold holds in each state.
func TestProtocolHolds(t *testing.T) {
	bounds := short
	if *wholeFlag {
		bounds = whole
	}
	began := time.Now()
	r := Explore(All(), bounds)
	if r.Broken != "" {
		t.Errorf("%s:\n%s", r.Broken, strings.Join(r.Steps, "\n"))
	}
	t.Logf("%d states to depth %d in %v, all %v", r.States, r.Depth, time.Since(began), r.Whole)
}

// Two gateways and one window are explored to greater depth.
func TestProtocolHoldsInDepth(t *testing.T) {
	for name, bounds := range map[string]Bounds{"all": small, "late writes": late} {
		if !*wholeFlag {
			bounds.States = min(bounds.States, inDepth)
		}
		r := Explore(All(), bounds)
		if r.Broken != "" {
			t.Errorf("%s:\n%s", r.Broken, strings.Join(r.Steps, "\n"))
		}
		t.Logf("%s: %d states to depth %d, all %v", name, r.States, r.Depth, r.Whole)
	}
}

// Without any one of the guards there is a way to break what must hold.
func TestEachGuardIsNeeded(t *testing.T) {
	cases := map[string]func(*Guards){
		"condition":     func(g *Guards) { g.Condition = false },
		"write ahead":   func(g *Guards) { g.WriteAhead = false },
		"step down":     func(g *Guards) { g.StepDown = false },
		"era in fence":  func(g *Guards) { g.EraInFence = false },
		"era in ledger": func(g *Guards) { g.EraInLedger = false },
		"era of answer": func(g *Guards) { g.EraOfAnswer = false },
		"era rows":      func(g *Guards) { g.EraRows = false },
		"adopt":         func(g *Guards) { g.Adopt = false },
	}
	for name, take := range cases {
		t.Run(name, func(t *testing.T) {
			guards := All()
			take(&guards)
			bounds := small
			bounds.States = inDepth
			r := Explore(guards, bounds)
			if r.Broken == "" {
				r = Explore(guards, late)
			}
			if r.Broken == "" {
				t.Fatalf("nothing breaks in %d states to depth %d, all %v", r.States, r.Depth, r.Whole)
			}
			t.Logf("%s, after %d steps, %d states:\n%s", r.Broken, len(r.Steps), r.States, strings.Join(r.Steps, "\n"))
		})
	}
}
