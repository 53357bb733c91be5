package policy

import (
	"testing"
	"time"
)

// shortOfSlots plays eight seconds in which urgent questions and less urgent
// summaries come at once and their streams together hold more slots than the
// engines have. There is time to read both: only slots are lacking. The
// questions alone fit. Without yielding one in 15 of them misses its target.
func shortOfSlots() *directPlay {
	p := newDirectPlay(12, 24, true)
	p.countFrom = time.Second
	p.stream("question", 230, 0, 8*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 3, Target: 300 * time.Millisecond, Tokens: 800}
	}, 1500*time.Millisecond)
	p.stream("summary", 200, 0, 8*time.Second, func() Job {
		part := uint64(p.random.IntN(40)+1) * 0x9e3779b97f4a7c15
		return Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 7500, Shared: []Part{{ID: part, Upto: 6000}}}
	}, 2*time.Second)
	p.run(12 * time.Second)
	return p
}

// Levels of urgency that are neighbours must not fill the servers side by side:
// what is more urgent and fits is let in, and the less urgent have the rest.
func TestUrgentFindSlotsBesideLessUrgent(t *testing.T) {
	p := shortOfSlots()
	questions, summaries := p.arrived["question"], p.arrived["summary"]
	t.Logf("questions in time %d of %d, summaries %d of %d", p.onTime["question"], questions, p.onTime["summary"], summaries)
	if missed := questions - p.onTime["question"]; 32*missed > questions {
		t.Errorf("%d of %d questions missed while %d summaries began", missed, questions, p.onTime["summary"])
	}
	// Beside the questions there are slots for some 60 summaries a second, of which
	// yielding leaves a quarter unused at the least.
	if p.onTime["summary"] < 100 {
		t.Errorf("%d of %d summaries in time: slots stay empty", p.onTime["summary"], summaries)
	}
}

// questionsAlone plays a burst of urgent questions after a steady flow of them.
// Their streams hold nearly all slots of the engines, at a rate that these bear:
// there is time to read all, and nothing else comes.
func questionsAlone() *directPlay {
	p := newDirectPlay(24, 28, true)
	p.expectUnseen = true
	p.countFrom = 3 * time.Second
	question := func() Job { return Job{Zone: "z", Urgency: 3, Target: 300 * time.Millisecond, Tokens: 800} }
	const holds = 3 * time.Second
	slots := 24 * 48 / holds.Seconds()
	p.stream("question", 0.5*slots, 0, 3*time.Second, question, holds)
	p.stream("question", 0.93*slots, 3*time.Second, 9*time.Second, question, holds)
	p.run(14 * time.Second)
	return p
}

// Slots are kept free for what is more urgent and for what senders don't see of
// each other. Where nothing more urgent comes, and what others send is reckoned
// with, what fits in the slots is let in, and no engine gets more than it can
// begin in time.
func TestUrgentAloneUseTheSlots(t *testing.T) {
	p := questionsAlone()
	arrived, begun, inTime := p.arrived["question"], p.begun["question"], p.onTime["question"]
	t.Logf("of %d questions %d began and %d in time; longest queue for a slot %d", arrived, begun, inTime, p.longest)
	if nothing := arrived - begun; 24*nothing > arrived {
		t.Errorf("%d of %d questions got nothing, though all fit in the slots", nothing, arrived)
	}
	if late := begun - inTime; 50*late > arrived {
		t.Errorf("%d of %d questions late", late, arrived)
	}
}

// questionsRise plays questions whose rate rises nearly threefold, beside summaries.
// Engines read a summary for as long as four questions, and all streams stand
// still meanwhile. The questions fit alone, with what is read for them.
func questionsRise() *directPlay {
	p := newDirectPlay(24, 28, true)
	p.expectUnseen, p.readingDelays = true, true
	p.countFrom = 4 * time.Second
	question := func() Job { return Job{Zone: "z", Urgency: 3, Target: 300 * time.Millisecond, Tokens: 800} }
	const holds, summaryHolds = 2 * time.Second, 500 * time.Millisecond
	p.stream("question", 130, 0, 4*time.Second, question, holds)
	p.stream("question", 380, 4*time.Second, 8*time.Second, question, holds)
	p.stream("summary", 130, 0, 8*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 4, Target: 500 * time.Millisecond, Tokens: 3200}
	}, summaryHolds)
	p.run(14 * time.Second)
	return p
}

// A burst of what is urgent fills the slots only as its streams add up. What is
// less urgent leaves the servers to it before the first is refused.
func TestUrgentFindSlotsAsTheyRise(t *testing.T) {
	p := questionsRise()
	arrived, begun, inTime := p.arrived["question"], p.begun["question"], p.onTime["question"]
	t.Logf("of %d questions %d began and %d in time; summaries in time %d of %d; longest queue for a slot %d",
		arrived, begun, inTime, p.onTime["summary"], p.arrived["summary"], p.longest)
	if missed := arrived - inTime; 12*missed > arrived {
		t.Errorf("%d of %d questions got nothing or late beside %d summaries", missed, arrived, p.onTime["summary"])
	}
	if 16*p.onTime["summary"] < p.arrived["summary"] {
		t.Errorf("%d of %d summaries in time: nearly all are refused", p.onTime["summary"], p.arrived["summary"])
	}
}
