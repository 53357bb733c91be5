package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// observePauses records the longest pauses of a number of streams of an urgency at a
// server.
func observePauses(p *PauseEstimator, now time.Time, server string, urgency, streams int, longest ...time.Duration) {
	for i := range streams {
		p.Observe(now, Pause{Server: KeyOf(server), Urgency: urgency, Longest: longest[i%len(longest)]})
	}
}

// trainedPauses returns an estimator of a service whose server b is slower than a and c.
func trainedPauses() *PauseEstimator {
	p := &PauseEstimator{}
	for i := range 20 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		observePauses(p, now, "a", 3, 2, 90*time.Millisecond, 100*time.Millisecond)
		observePauses(p, now, "b", 3, 2, 120*time.Millisecond, 130*time.Millisecond)
		observePauses(p, now, "c", 3, 2, 92*time.Millisecond, 98*time.Millisecond)
	}
	return p
}

const tightPauseTarget = 120 * time.Millisecond

func TestPausesAtSlowServersAreLikelyLate(t *testing.T) {
	p, now := trainedPauses(), testStart.Add(2*time.Second)
	for server, bounds := range map[string][2]float64{"a": {0, 0.05}, "b": {0.4, 1}, "c": {0, 0.05}} {
		if got := p.lateProbability(p.slowdowns.factor(now, KeyOf(server)), 3, tightPauseTarget); got < bounds[0] || got > bounds[1] {
			t.Errorf("probability of a late pause at %s is %.2f, want %v", server, got, bounds)
		}
	}
	if got := p.lateProbability(p.slowdowns.factor(now, KeyOf("b")), 3, 0); got != 0 {
		t.Errorf("without a target the probability is %.2f", got)
	}
	if got := p.lateProbability(p.slowdowns.factor(now, KeyOf("b")), 3, 10*tightPauseTarget); got != 0 {
		t.Errorf("with a loose target the probability is %.2f", got)
	}
	if got := p.lateProbability(p.slowdowns.factor(now, KeyOf("a")), 3, time.Millisecond); got != 1 {
		t.Errorf("with an unattainable target the probability is %.2f", got)
	}
}

// A server's slowdown applies to streams of all urgencies.
func TestSlowdownIsLearnedFromAllUrgencies(t *testing.T) {
	p, now := trainedPauses(), testStart.Add(2*time.Second)
	for range 10 {
		observePauses(p, now, "a", 4, 2, 180*time.Millisecond)
		observePauses(p, now, "c", 4, 2, 180*time.Millisecond)
	}
	if slow, fast := p.lateProbability(p.slowdowns.factor(now, KeyOf("b")), 4, 200*time.Millisecond), p.lateProbability(p.slowdowns.factor(now, KeyOf("a")), 4, 200*time.Millisecond); slow <= fast {
		t.Errorf("late with probability %.2f at the slow server, %.2f at a fast one", slow, fast)
	}
}

func TestPausesDecayAndCanBeRemoved(t *testing.T) {
	p := trainedPauses()
	late := func(after time.Duration) float64 {
		return p.lateProbability(p.slowdowns.factor(testStart.Add(after), KeyOf("b")), 3, tightPauseTarget)
	}
	soon, later := late(2*time.Second), late(time.Minute)
	if later >= soon || later > 0.3 {
		t.Errorf("late with probability %.2f, a minute later %.2f", soon, later)
	}
	p.RemoveServer(KeyOf("b"))
	if got := late(2 * time.Second); got >= soon {
		t.Errorf("after removal of the server the probability is %.2f", got)
	}
}

func TestTooFewPausesHaveNoEffect(t *testing.T) {
	p := &PauseEstimator{}
	if got := p.lateProbability(p.slowdowns.factor(testStart, KeyOf("a")), 3, tightPauseTarget); got != 0 {
		t.Errorf("the probability is %.2f without samples", got)
	}
	observePauses(p, testStart, "a", 3, minPauseSamples-1, time.Second)
	if got := p.lateProbability(p.slowdowns.factor(testStart, KeyOf("a")), 3, tightPauseTarget); got != 0 {
		t.Errorf("the probability is %.2f after a few streams", got)
	}
	// Pauses that are all zero, as of unstreamed responses, must not cause a division by
	// zero.
	q := &PauseEstimator{}
	observePauses(q, testStart, "a", 3, 2*minPauseSamples, 0)
	if got := q.lateProbability(q.slowdowns.factor(testStart, KeyOf("a")), 3, tightPauseTarget); got != 0 {
		t.Errorf("the probability is %.2f without any pause", got)
	}
}

// The pause of a server that hung reflects the fault and not the server's speed: a single
// such stream must not divert others.
func TestSingleLongPauseIsBounded(t *testing.T) {
	p, now := trainedPauses(), testStart.Add(2*time.Second)
	observePauses(p, now, "a", 3, 1, time.Minute)
	if got := p.lateProbability(p.slowdowns.factor(now, KeyOf("a")), 3, tightPauseTarget); got > 0.5 {
		t.Errorf("the probability is %.2f after one pause of a minute", got)
	}
}

// Servers that differ only by chance have no excess risk.
func TestIdenticalServersHaveNoExcessRisk(t *testing.T) {
	p := &PauseEstimator{}
	random := rand.New(rand.NewPCG(1, 2))
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	excess, checked := 0, 0
	for i := range 400 {
		now := testStart.Add(time.Duration(i) * 50 * time.Millisecond)
		for _, name := range names {
			if random.IntN(8) == 0 {
				observePauses(p, now, name, 3, 1, time.Duration(80+random.IntN(80))*time.Millisecond)
			}
			if i > 100 {
				checked++
				if p.ExcessRisk(now, KeyOf(name), 3, tightPauseTarget) > 0 {
					excess++
				}
			}
		}
	}
	if 20*excess > checked {
		t.Errorf("identical servers have an excess risk in %d of %d checks", excess, checked)
	}
	if slow := trainedPauses().ExcessRisk(testStart.Add(2*time.Second), KeyOf("b"), 3, tightPauseTarget); slow == 0 {
		t.Error("a slow server has no excess risk")
	}
}
