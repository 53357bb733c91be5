package policy

import (
	"testing"
	"time"
)

// alikeEngines plays questions with a tight target for their pauses before engines
// that are alike and read prompts all the time: pauses differ by chance.
func alikeEngines(targets map[string]time.Duration) *directPlay {
	p := newDirectPlay(24, 48, true)
	p.expectUnseen = true
	p.countFrom = 2 * time.Second
	p.pauseTargets = targets
	p.stream("question", 480, 0, 10*time.Second, func() Job {
		part := uint64(p.random.IntN(15)+1) * 0x9e3779b97f4a7c15
		return Job{Zone: "z", Urgency: 3, Target: 250 * time.Millisecond, Tokens: 800, Shared: []Part{{ID: part, Upto: 120}}}
	}, 1500*time.Millisecond)
	p.stream("summary", 100, 0, 10*time.Second, func() Job {
		part := uint64(p.random.IntN(400)+1) * 0x9e3779b97f4a7c15
		return Job{Zone: "z", Urgency: 4, Target: 400 * time.Millisecond, Tokens: 9000, Shared: []Part{{ID: part, Upto: 6000}}}
	}, 500*time.Millisecond)
	p.run(14 * time.Second)
	return p
}

// Senders that each prefer the servers whose pauses were shorter by chance would all
// fill the same few. Where servers are alike the load stays as even as without.
func TestEnginesThatAreAlikeStayEven(t *testing.T) {
	tight := map[string]time.Duration{"question": 95 * time.Millisecond}
	known, unknown := alikeEngines(tight), alikeEngines(nil)
	t.Logf("longest queue for a slot %d, %d where nothing is known of pauses; questions in time %d and %d of %d",
		known.longest, unknown.longest, known.onTime["question"], unknown.onTime["question"], known.arrived["question"])
	if known.longest > unknown.longest {
		t.Errorf("%d requests wait for a slot at one engine, %d where nothing is known of pauses", known.longest, unknown.longest)
	}
	if fewer := unknown.onTime["question"] - known.onTime["question"]; 50*fewer > known.arrived["question"] {
		t.Errorf("%d of %d questions fewer are in time", fewer, known.arrived["question"])
	}
}
