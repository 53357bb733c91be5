package policy

import (
	"testing"
	"time"
)

const (
	// playStep is a step of an engine that makes a token for each of its streams,
	// playChunk how much longer it is while a prompt is read, and playEvent how
	// many steps an event takes.
	playStep     = 6 * time.Millisecond
	playChunk    = 13 * time.Millisecond
	playEventLen = 5
	// playQuestionPause is the longest pause that a question's stream may have.
	playQuestionPause = 120 * time.Millisecond
)

// questionPauses are the targets of a play's classes.
var questionPauses = map[string]time.Duration{"question": playQuestionPause}

// pause is the longest between two events of a stream at an engine that has read
// prompts meanwhile, or hasn't; one differs from the next by a tenth.
func (e *directEngine) pause(read bool) time.Duration {
	step := playStep
	if read {
		step += playChunk
	}
	differs := 0.9 + 0.2*e.play.random.Float64()
	return time.Duration(differs * max(e.slower, 1) * playEventLen * float64(step))
}

// unequalEngines plays questions with a tight target for their pauses beside
// summaries, at engines of which each third takes 1.3 times as long. A question's
// pauses are in time at the others, whatever is read there.
func unequalEngines(questions, summaries float64, targets map[string]time.Duration) *directPlay {
	p := newDirectPlay(12, 24, true)
	p.expectUnseen = true
	p.countFrom = 2 * time.Second
	p.pauseTargets = targets
	for i := range p.engines {
		if i%3 == 2 {
			p.engines[i].slower = 1.3
		}
	}
	p.stream("question", questions, 0, 10*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 3, Target: 250 * time.Millisecond, Tokens: 800}
	}, 1500*time.Millisecond)
	p.stream("summary", max(summaries, 0.1), 0, 10*time.Second, func() Job {
		part := uint64(p.random.IntN(40)+1) * 0x9e3779b97f4a7c15
		return Job{Zone: "z", Urgency: 4, Target: 400 * time.Millisecond, Tokens: 9000, Shared: []Part{{ID: part, Upto: 6000}}}
	}, 500*time.Millisecond)
	p.run(14 * time.Second)
	return p
}

// Engines of one service differ in speed. Streams with tight pauses go where they
// are in time, as long as there are slots; without that a third of them is late.
func TestTightStreamsAvoidSlowEngines(t *testing.T) {
	p, unknown := unequalEngines(120, 80, questionPauses), unequalEngines(120, 80, nil)
	begun, late := p.begun["question"], p.latePauses["question"]
	t.Logf("of %d questions %d began, %d were late by a pause; summaries in time %d of %d",
		p.arrived["question"], begun, late, p.onTime["summary"], p.arrived["summary"])
	if 20*late > begun {
		t.Errorf("%d of %d questions were late by a pause", late, begun)
	}
	if missed := p.arrived["question"] - p.onTime["question"]; 50*missed > p.arrived["question"] {
		t.Errorf("%d of %d questions had no first token in time", missed, p.arrived["question"])
	}
	if lost := unknown.onTime["summary"] - p.onTime["summary"]; 50*lost > p.arrived["summary"] {
		t.Errorf("%d of %d summaries fewer are in time for it", lost, p.arrived["summary"])
	}
}

// Where the faster engines have no slot left the others are used: what fits is
// never refused for its pauses.
func TestTightStreamsUseSlowEnginesForTheirSlots(t *testing.T) {
	// 12 engines of 48 slots bear 384 streams of 1.5 s a second, the faster ones 256.
	p := unequalEngines(330, 0, questionPauses)
	if nothing := p.arrived["question"] - p.begun["question"]; 50*nothing > p.arrived["question"] {
		t.Errorf("%d of %d questions got nothing, though all fit in the slots", nothing, p.arrived["question"])
	}
}
