package policy

import (
	"testing"
	"time"
)

// coldStart plays six seconds on engines whose memories are empty: two
// hundred long beginnings are asked for at once, five times each, at half of
// what the engines read when all are kept; each has to be read once first.
func coldStart(seed uint64) *directPlay {
	p := newSeededPlay(seed, 12, 24, true)
	part := func() uint64 { return uint64(p.random.IntN(200)+1) * 0x9e3779b97f4a7c15 }
	p.stream("essay", 160, 0, 6*time.Second, func() Job {
		return Job{Zone: "z", Urgency: 4, Target: 2 * time.Second, Tokens: 15_300, Shared: []Part{{ID: part(), Upto: 13_300}}, FetchRate: directRate * fetchSpeed}
	}, 300*time.Millisecond)
	p.run(10 * time.Second)
	return p
}

// What is to be read while memories are empty is foreseen: the rate that is
// learned stays near the true one, and most are served in time. With homes that
// count as warm from the start the learned rate falls to 26 of 60 tokens a
// millisecond, and 734 of 971 are in time.
func TestColdStartIsForeseen(t *testing.T) {
	p := coldStart(playSeed)
	rate := p.meanRate()
	t.Logf("in time %d of %d, read %d thousand tokens of shared parts, learned %.0f of %.0f tokens a ms",
		p.onTime["essay"], p.arrived["essay"], p.readMore/1000, rate, directRate)
	if 10*p.onTime["essay"] < 8*p.arrived["essay"] {
		t.Errorf("%d of %d in time", p.onTime["essay"], p.arrived["essay"])
	}
	if rate < directRate/2 {
		t.Errorf("learned %.0f tokens a ms, engines read %.0f", rate, directRate)
	}
	// Each is read once, and some twice before all senders have heard.
	if once := 200 * 13_300; p.readMore > 2*once {
		t.Errorf("%d tokens of shared parts read, %d would do", p.readMore, once)
	}
}

// meanRate is what senders have learned at the mean, in tokens a millisecond.
func (p *directPlay) meanRate() float64 {
	rate := 0.0
	for _, s := range p.senders {
		rate += s.rate.rate() / float64(len(p.senders))
	}
	return rate
}

// What holds for one sequence of arrivals holds for others. How many are in time
// depends on how soon parts come again: in the first four seconds the engines have as
// much to read as they can, and a part that comes twice then is read once. So one
// sequence may miss what all of them hold together, by a little.
func TestColdStartsOfOtherSeeds(t *testing.T) {
	arrived, inTime := 0, 0
	for seed := range uint64(8) {
		p := coldStart(seed + 1)
		arrived += p.arrived["essay"]
		inTime += p.onTime["essay"]
		if 4*p.onTime["essay"] < 3*p.arrived["essay"] {
			t.Errorf("seed %d: %d of %d in time", seed+1, p.onTime["essay"], p.arrived["essay"])
		}
		if rate := p.meanRate(); rate < directRate/2 {
			t.Errorf("seed %d: learned %.0f tokens a ms, engines read %.0f", seed+1, rate, directRate)
		}
	}
	t.Logf("in time %d of %d", inTime, arrived)
	if 10*inTime < 8*arrived {
		t.Errorf("%d of %d in time", inTime, arrived)
	}
}
