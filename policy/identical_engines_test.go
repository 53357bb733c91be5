package policy

import (
	"testing"
	"time"
)

// simulateIdenticalEngines runs questions with a tight pause target on identical engines
// that prefill prompts all the time, so that pauses differ only by chance.
func simulateIdenticalEngines(targets map[string]time.Duration) *directSimulation {
	p := newDirectSimulation(24, 48, true)
	p.estimateUnreported = true
	p.measureFrom = 2 * time.Second
	p.pauseTargets = targets
	p.addArrivals("question", 480, 0, 10*time.Second, func() Job {
		segment := uint64(p.random.IntN(15)+1) * 0x9e3779b97f4a7c15
		return Job{Zone: "z", Urgency: 3, Target: 250 * time.Millisecond, Tokens: 800, SharedSegments: []PrefixSegment{{ID: segment, End: 120}}}
	}, 1500*time.Millisecond)
	p.addArrivals("summary", 100, 0, 10*time.Second, func() Job {
		segment := uint64(p.random.IntN(400)+1) * 0x9e3779b97f4a7c15
		return Job{Zone: "z", Urgency: 4, Target: 400 * time.Millisecond, Tokens: 9000, SharedSegments: []PrefixSegment{{ID: segment, End: 6000}}}
	}, 500*time.Millisecond)
	p.run(14 * time.Second)
	return p
}

// Gateways that prefer servers whose pauses were shorter by chance would all overload the
// same few. With identical servers the load must stay as even as without pause targets.
func TestIdenticalEnginesStayEvenlyLoaded(t *testing.T) {
	tight := map[string]time.Duration{"question": 95 * time.Millisecond}
	with, without := simulateIdenticalEngines(tight), simulateIdenticalEngines(nil)
	t.Logf("longest queue for a slot %d, %d without pause targets; questions in time %d and %d of %d",
		with.longestQueue, without.longestQueue, with.inTime["question"], without.inTime["question"], with.arrived["question"])
	if with.longestQueue > without.longestQueue {
		t.Errorf("%d requests wait for a slot at one engine, %d without pause targets", with.longestQueue, without.longestQueue)
	}
	if fewer := without.inTime["question"] - with.inTime["question"]; 50*fewer > with.arrived["question"] {
		t.Errorf("%d of %d questions fewer are in time", fewer, with.arrived["question"])
	}
}
