package policy

import (
	"testing"
	"time"
)

// simulateSlotShortage runs eight seconds in which urgent questions and less urgent summaries
// arrive together, and their streams would occupy more slots than the engines have. There is
// time to prefill both: only slots are short. The questions alone fit. Without adaptive
// headroom one in 15 of them misses its target.
func simulateSlotShortage() *directSimulation {
	sim := newDirectSimulation(12, 24, true)
	sim.measureFrom = time.Second
	sim.addArrivals("question", 230, 0, 8*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 3, Target: 300 * time.Millisecond, Tokens: 800}
	}, 1500*time.Millisecond)
	sim.addArrivals("summary", 200, 0, 8*time.Second, func() Job {
		prefixID := uint64(sim.random.IntN(40)+1) * 0x9e3779b97f4a7c15
		return Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 7500, SharedSegments: []PrefixSegment{{ID: prefixID, End: 6000}}}
	}, 2*time.Second)
	sim.run(12 * time.Second)
	return sim
}

// Guards against neighboring urgency levels filling the servers side by side: more urgent requests
// that fit must be admitted, and less urgent ones get the rest.
func TestUrgentFindSlotsBesideLessUrgent(t *testing.T) {
	sim := simulateSlotShortage()
	questions, summaries := sim.arrived["question"], sim.arrived["summary"]
	t.Logf("questions in time %d of %d, summaries %d of %d", sim.inTime["question"], questions, sim.inTime["summary"], summaries)
	if missed := questions - sim.inTime["question"]; 32*missed > questions {
		t.Errorf("%d of %d questions missed their target while %d summaries started", missed, questions, sim.inTime["summary"])
	}
	// Beside the questions there are slots for about 60 summaries a second. The headroom
	// leaves at least a quarter of them unused.
	if sim.inTime["summary"] < 100 {
		t.Errorf("%d of %d summaries in time: slots stay unused", sim.inTime["summary"], summaries)
	}
}

// simulateQuestionsOnly runs a burst of urgent questions after a steady rate of them. Their
// streams occupy nearly all slots, at a rate that the engines sustain: there is time to
// prefill all of them, and there is no other traffic.
func simulateQuestionsOnly() *directSimulation {
	sim := newDirectSimulation(24, 28, true)
	sim.estimateUnreported = true
	sim.measureFrom = 3 * time.Second
	question := func() Job { return Job{Zone: "z", Urgency: 3, Target: 300 * time.Millisecond, Tokens: 800} }
	const streamTime = 3 * time.Second
	slotsPerSecond := 24 * 48 / streamTime.Seconds()
	sim.addArrivals("question", 0.5*slotsPerSecond, 0, 3*time.Second, question, streamTime)
	sim.addArrivals("question", 0.93*slotsPerSecond, 3*time.Second, 9*time.Second, question, streamTime)
	sim.run(14 * time.Second)
	return sim
}

// Guards against slots that stay free although nothing needs them: some are reserved for more
// urgent requests, and some for requests that other gateways haven't reported yet. Without
// more urgent traffic all that fits in the slots must be admitted, and no engine may get more
// requests than it can start in time.
func TestUrgentTrafficAloneUsesAllSlots(t *testing.T) {
	sim := simulateQuestionsOnly()
	arrived, started, inTime := sim.arrived["question"], sim.started["question"], sim.inTime["question"]
	t.Logf("of %d questions %d started and %d in time; longest queue for a slot %d", arrived, started, inTime, sim.longestQueue)
	if refused := arrived - started; 24*refused > arrived {
		t.Errorf("%d of %d questions refused, though all fit in the slots", refused, arrived)
	}
	if late := started - inTime; 50*late > arrived {
		t.Errorf("%d of %d questions late", late, arrived)
	}
}

// simulateQuestionSurge runs questions whose rate rises nearly threefold, beside summaries.
// Engines prefill a summary for as long as four questions, and all streams pause meanwhile.
// The questions alone fit, with their prefill.
func simulateQuestionSurge() *directSimulation {
	sim := newDirectSimulation(24, 28, true)
	sim.estimateUnreported, sim.prefillDelaysDecode = true, true
	sim.measureFrom = 4 * time.Second
	question := func() Job { return Job{Zone: "z", Urgency: 3, Target: 300 * time.Millisecond, Tokens: 800} }
	const questionTime, summaryTime = 2 * time.Second, 500 * time.Millisecond
	sim.addArrivals("question", 130, 0, 4*time.Second, question, questionTime)
	sim.addArrivals("question", 380, 4*time.Second, 8*time.Second, question, questionTime)
	sim.addArrivals("summary", 130, 0, 8*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 3200}
	}, summaryTime)
	sim.run(14 * time.Second)
	return sim
}

// Guards against less urgent requests taking the slots that an urgent burst needs a little
// later: the burst fills the slots only gradually, as its streams accumulate. Slots must be
// left free for it before the first of its requests is refused.
func TestUrgentSurgeFindsSlots(t *testing.T) {
	sim := simulateQuestionSurge()
	arrived, started, inTime := sim.arrived["question"], sim.started["question"], sim.inTime["question"]
	t.Logf("of %d questions %d started and %d in time; summaries in time %d of %d; longest queue for a slot %d",
		arrived, started, inTime, sim.inTime["summary"], sim.arrived["summary"], sim.longestQueue)
	if missed := arrived - inTime; 12*missed > arrived {
		t.Errorf("%d of %d questions refused or late beside %d summaries", missed, arrived, sim.inTime["summary"])
	}
	if 16*sim.inTime["summary"] < sim.arrived["summary"] {
		t.Errorf("%d of %d summaries in time: nearly all are refused", sim.inTime["summary"], sim.arrived["summary"])
	}
}
