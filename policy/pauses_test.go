package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// observe has streams of an urgency end at a server.
func observe(p *Pauses, now time.Time, server string, urgency, streams int, longest ...time.Duration) {
	for i := range streams {
		p.Observe(now, Pause{Server: KeyOf(server), Urgency: urgency, Longest: longest[i%len(longest)]})
	}
}

// learnedPauses are of a service whose server b is slower than a and c.
func learnedPauses() *Pauses {
	p := &Pauses{}
	for i := range 20 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		observe(p, now, "a", 3, 2, 90*time.Millisecond, 100*time.Millisecond)
		observe(p, now, "b", 3, 2, 120*time.Millisecond, 130*time.Millisecond)
		observe(p, now, "c", 3, 2, 92*time.Millisecond, 98*time.Millisecond)
	}
	return p
}

const tightPause = 120 * time.Millisecond

func TestSlowServersPausesAreLikelyLate(t *testing.T) {
	p, now := learnedPauses(), testStart.Add(2*time.Second)
	for server, bounds := range map[string][2]float64{"a": {0, 0.05}, "b": {0.4, 1}, "c": {0, 0.05}} {
		if got := p.lateProbability(p.slowdowns.factor(now, KeyOf(server)), 3, tightPause); got < bounds[0] || got > bounds[1] {
			t.Errorf("%s is late by %.2f, want %v", server, got, bounds)
		}
	}
	if got := p.lateProbability(p.slowdowns.factor(now, KeyOf("b")), 3, 0); got != 0 {
		t.Errorf("without a target %.2f are late", got)
	}
	if got := p.lateProbability(p.slowdowns.factor(now, KeyOf("b")), 3, 10*tightPause); got != 0 {
		t.Errorf("with a slack target %.2f are late", got)
	}
	if got := p.lateProbability(p.slowdowns.factor(now, KeyOf("a")), 3, time.Millisecond); got != 1 {
		t.Errorf("with a target that nobody meets %.2f are late", got)
	}
}

// A server's pace holds for streams of all urgencies.
func TestPaceIsLearnedFromAllUrgencies(t *testing.T) {
	p, now := learnedPauses(), testStart.Add(2*time.Second)
	for range 10 {
		observe(p, now, "a", 4, 2, 180*time.Millisecond)
		observe(p, now, "c", 4, 2, 180*time.Millisecond)
	}
	if slow, fast := p.lateProbability(p.slowdowns.factor(now, KeyOf("b")), 4, 200*time.Millisecond), p.lateProbability(p.slowdowns.factor(now, KeyOf("a")), 4, 200*time.Millisecond); slow <= fast {
		t.Errorf("late at the slow server %.2f, at a fast one %.2f", slow, fast)
	}
}

func TestPausesFadeAndAreForgotten(t *testing.T) {
	p := learnedPauses()
	late := func(after time.Duration) float64 {
		return p.lateProbability(p.slowdowns.factor(testStart.Add(after), KeyOf("b")), 3, tightPause)
	}
	soon, later := late(2*time.Second), late(time.Minute)
	if later >= soon || later > 0.3 {
		t.Errorf("late by %.2f, a minute later by %.2f", soon, later)
	}
	p.Forget(KeyOf("b"))
	if got := late(2 * time.Second); got >= soon {
		t.Errorf("a server that is forgotten is late by %.2f", got)
	}
}

func TestFewPausesDecideNothing(t *testing.T) {
	p := &Pauses{}
	if got := p.lateProbability(p.slowdowns.factor(testStart, KeyOf("a")), 3, tightPause); got != 0 {
		t.Errorf("late by %.2f before anything is known", got)
	}
	observe(p, testStart, "a", 3, minPauseSamples-1, time.Second)
	if got := p.lateProbability(p.slowdowns.factor(testStart, KeyOf("a")), 3, tightPause); got != 0 {
		t.Errorf("late by %.2f after a few streams", got)
	}
	// Pauses that are all zero, as whole answers have, must not lead to a division
	// by nothing.
	q := &Pauses{}
	observe(q, testStart, "a", 3, 2*minPauseSamples, 0)
	if got := q.lateProbability(q.slowdowns.factor(testStart, KeyOf("a")), 3, tightPause); got != 0 {
		t.Errorf("late by %.2f without any pause", got)
	}
}

// A server that stood still tells of the fault, not of its pace: one such stream
// doesn't keep others away.
func TestOneLongPauseIsBounded(t *testing.T) {
	p, now := learnedPauses(), testStart.Add(2*time.Second)
	observe(p, now, "a", 3, 1, time.Minute)
	if got := p.lateProbability(p.slowdowns.factor(now, KeyOf("a")), 3, tightPause); got > 0.5 {
		t.Errorf("late by %.2f after one pause of a minute", got)
	}
}

// Servers that are alike, but for chance, are no worse than each other.
func TestServersThatAreAlikeAreNotPreferred(t *testing.T) {
	p := &Pauses{}
	random := rand.New(rand.NewPCG(1, 2))
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	worse, asked := 0, 0
	for i := range 400 {
		now := testStart.Add(time.Duration(i) * 50 * time.Millisecond)
		for _, name := range names {
			if random.IntN(8) == 0 {
				observe(p, now, name, 3, 1, time.Duration(80+random.IntN(80))*time.Millisecond)
			}
			if i > 100 {
				asked++
				if p.Worse(now, KeyOf(name), 3, tightPause) > 0 {
					worse++
				}
			}
		}
	}
	if 20*worse > asked {
		t.Errorf("of servers that are alike one is worse in %d of %d looks", worse, asked)
	}
	if slow := learnedPauses().Worse(testStart.Add(2*time.Second), KeyOf("b"), 3, tightPause); slow == 0 {
		t.Error("a slow server isn't worse")
	}
}
