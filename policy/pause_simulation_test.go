package policy

import (
	"testing"
	"time"
)

const (
	// simStepTime is the duration of an engine's step, which generates a token for each
	// of its streams. simPrefillStall is the extra duration of a step with prefill, and
	// simTokensPerEvent the number of steps between two events of a stream.
	simStepTime       = 6 * time.Millisecond
	simPrefillStall   = 13 * time.Millisecond
	simTokensPerEvent = 5
	// simQuestionPauseTarget is the longest allowed pause of a question's stream.
	simQuestionPauseTarget = 120 * time.Millisecond
)

// simPauseTargets are the pause targets of a simulation, by class.
var simPauseTargets = map[string]time.Duration{"question": simQuestionPauseTarget}

// drawPause returns a stream's longest pause at an engine that has or hasn't prefilled
// prompts meanwhile. It varies randomly by a tenth.
func (e *directEngine) drawPause(prefilled bool) time.Duration {
	step := simStepTime
	if prefilled {
		step += simPrefillStall
	}
	variation := 0.9 + 0.2*e.simulation.random.Float64()
	return time.Duration(variation * max(e.slowdown, 1) * simTokensPerEvent * float64(step))
}

// simulateUnequalEngines runs questions with a tight pause target and summaries on engines
// of which every third takes 1.3 times as long. At the others a question's pauses are
// within the target whatever is prefilled there.
func simulateUnequalEngines(questions, summaries float64, targets map[string]time.Duration) *directSimulation {
	p := newDirectSimulation(12, 24, true)
	p.estimateUnreported = true
	p.measureFrom = 2 * time.Second
	p.pauseTargets = targets
	for i := range p.engines {
		if i%3 == 2 {
			p.engines[i].slowdown = 1.3
		}
	}
	p.addArrivals("question", questions, 0, 10*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 3, Target: 250 * time.Millisecond, Tokens: 800}
	}, 1500*time.Millisecond)
	p.addArrivals("summary", max(summaries, 0.1), 0, 10*time.Second, func() Job {
		segment := uint64(p.random.IntN(40)+1) * 0x9e3779b97f4a7c15
		return Job{Zone: "z", Urgency: 4, Target: 400 * time.Millisecond, Tokens: 9000, SharedSegments: []PrefixSegment{{ID: segment, End: 6000}}}
	}, 500*time.Millisecond)
	p.run(14 * time.Second)
	return p
}

// Guards against streams with tight pause targets at engines that are too slow for them, while
// faster engines of the service have slots: a third of the streams would be late.
func TestTightStreamsAvoidSlowEngines(t *testing.T) {
	withTargets, withoutTargets := simulateUnequalEngines(120, 80, simPauseTargets), simulateUnequalEngines(120, 80, nil)
	started, late := withTargets.started["question"], withTargets.latePauses["question"]
	t.Logf("of %d questions %d started, %d were late by a pause; summaries in time %d of %d",
		withTargets.arrived["question"], started, late, withTargets.inTime["summary"], withTargets.arrived["summary"])
	if 20*late > started {
		t.Errorf("%d of %d questions were late by a pause", late, started)
	}
	if missed := withTargets.arrived["question"] - withTargets.inTime["question"]; 50*missed > withTargets.arrived["question"] {
		t.Errorf("%d of %d questions had no first token in time", missed, withTargets.arrived["question"])
	}
	if lost := withoutTargets.inTime["summary"] - withTargets.inTime["summary"]; 50*lost > withTargets.arrived["summary"] {
		t.Errorf("of %d summaries, %d fewer are in time than without pause targets", withTargets.arrived["summary"], lost)
	}
}

// If the faster engines have no free slot, the others are used: requests that fit are never
// refused because of their pause targets.
func TestTightStreamsUseSlowEnginesForTheirSlots(t *testing.T) {
	// 12 engines of 48 slots can run 384 streams of 1.5 s per second, the faster ones 256.
	p := simulateUnequalEngines(330, 0, simPauseTargets)
	if refused := p.arrived["question"] - p.started["question"]; 50*refused > p.arrived["question"] {
		t.Errorf("%d of %d questions got no first token, though all fit in the slots", refused, p.arrived["question"])
	}
}
