package isolation

import (
	"math"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

// Guards against reservations for classes that they can't help, and against bounds for classes that
// don't cause the pauses or are more urgent.
func TestWhichLevelsAreProtectedAndBound(t *testing.T) {
	for name, test := range map[string]struct {
		change    func(l *Load)
		protected bool
	}{
		"as measured":             {func(*Load) {}, true},
		"no pause target":         {func(l *Load) { l.Classes[shortLevel].PauseTarget = 0 }, false},
		"prompt over an eighth":   {func(l *Load) { l.Classes[shortLevel].PrefillTokens = 51.1*300/8 + 1 }, false},
		"prompt of an eighth":     {func(l *Load) { l.Classes[shortLevel].PrefillTokens = 51.1 * 300 / 8 }, true},
		"unknown prompt":          {func(l *Load) { l.Classes[shortLevel].PrefillTokens = 0 }, false},
		"no long prompts":         {func(l *Load) { l.Classes[longLevel].PrefillTokens = 1400 }, false},
		"long prompts are longer": {func(l *Load) { l.Classes[longLevel].PrefillTokens = 9000 }, true},
		// They are within an eighth of their own target of 500 ms, but not of 300 ms.
		"shorter long prompts":  {func(l *Load) { l.Classes[longLevel].PrefillTokens = 2890 }, true},
		"prefill rate too high": {func(l *Load) { l.Classes[longLevel].PrefillTokens, l.PrefillRate = 2890, 80 }, true},
		"unknown rate, short":   {func(l *Load) { l.PrefillRate = 0; l.Classes[shortLevel].PrefillTokens = 1500 }, true},
		"unknown rate, long":    {func(l *Load) { l.PrefillRate = 0; l.Classes[shortLevel].PrefillTokens = 1501 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			load := testLoad(40)
			test.change(load)
			plan := planAt(activePlanner(), 0, load)
			if plan.Protected[shortLevel] != test.protected || plan.Bound[longLevel] != test.protected || (plan.Count > 0) != test.protected {
				t.Errorf("protected %v, bound %v, %d reserved; want %v", plan.Protected, plan.Bound, plan.Count, test.protected)
			}
			for level := range plan.Bound {
				if plan.Bound[level] && level != longLevel || plan.Protected[level] && level != shortLevel {
					t.Errorf("level %d: protected %v, bound %v", level, plan.Protected[level], plan.Bound[level])
				}
			}
		})
	}
}

// Guards against bounds for more urgent requests.
func TestMoreUrgentLongPromptsAreFree(t *testing.T) {
	load := testLoad(40)
	load.Classes[1] = Class{PrefillTokens: 9000, Rate: 5, StreamTime: time.Second}
	if plan := planAt(activePlanner(), 0, load); plan.Bound[1] || !plan.Bound[longLevel] {
		t.Errorf("bound levels %v, want %d only", plan.Bound, longLevel)
	}
	load.Classes[longLevel] = Class{}
	if plan := planAt(activePlanner(), 0, load); plan.Count > 0 {
		t.Errorf("%d servers reserved though all long prompts are more urgent", plan.Count)
	}
}

// Guards against a level with a pause target that is on time and yet crowds the reserved servers,
// which aren't sized for it, and against bounds for it.
func TestOnlyLateLevelsAreProtected(t *testing.T) {
	load := testLoad(40)
	load.Classes[shortLevel].PrefillTokens = 200
	load.Classes[5] = Class{PauseTarget: time.Second, PrefillTokens: 450, Rate: 10, StreamTime: time.Second}
	plan := planAt(activePlanner(), 0, load)
	if plan.Protected[5] || plan.Bound[5] {
		t.Errorf("level 5: protected %v, bound %v", plan.Protected[5], plan.Bound[5])
	}
}

// Guards against protection of the prompts that stall a more urgent level: they are late themselves
// and, by their own pause target, short enough.
func TestBoundLevelsAreNotProtected(t *testing.T) {
	p, load := activePlanner(), testLoad(40)
	observe(p, testStart, longLevel, 100, 50)
	load.Classes[longLevel].PrefillTokens = 2890
	load.Classes[longLevel+1] = Class{PrefillTokens: 9000, Rate: 5}
	plan := planAt(p, 0, load)
	if plan.Protected[longLevel] || !plan.Bound[longLevel] || !plan.Bound[longLevel+1] {
		t.Errorf("protected %v, bound %v", plan.Protected, plan.Bound)
	}
}

// Guards against streams of a few customers on servers that aren't reserved although those of all
// other customers of the same class are known to be late there: they have too few late streams.
func TestEvidenceCountsForLevelsWithTheSameTarget(t *testing.T) {
	load := testLoad(40)
	load.Classes[shortLevel-1] = load.Classes[shortLevel]
	load.Classes[shortLevel-1].Rate = 1
	plan := planAt(activePlanner(), 0, load)
	if !plan.Protected[shortLevel-1] || !plan.Protected[shortLevel] {
		t.Errorf("protected levels %v, want %d and %d", plan.Protected, shortLevel-1, shortLevel)
	}
	load.Classes[shortLevel-1].PauseTarget += time.Millisecond
	if plan := planAt(activePlanner(), 0, load); plan.Protected[shortLevel-1] {
		t.Error("a level with a longer target is protected without late streams")
	}
}

// Guards against long prompts that wait at one server until the streams of their own class pause for
// too long, and against such a bound where nothing is reserved.
func TestWaitingTokensOfBoundLevels(t *testing.T) {
	load := testLoad(40)
	if plan := planAt(&Planner{}, 0, load); plan.MaxWaitingTokens != [policy.UrgencyLevels]float64{} {
		t.Errorf("bounds without a reservation: %v", plan.MaxWaitingTokens)
	}
	plan := planAt(activePlanner(), 0, load)
	for level, tokens := range plan.MaxWaitingTokens {
		want := 0.0
		if level == longLevel {
			want = 0.6 * 500 * 51.1
		}
		if math.Abs(tokens-want) > 1e-6 {
			t.Errorf("level %d: %.0f tokens may wait, want %.0f", level, tokens, want)
		}
	}
}
