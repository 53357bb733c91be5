package policy

import (
	"testing"
	"time"
)

// coldStart plays six seconds on engines whose memories are empty: two
// hundred long beginnings are asked for at once, five times each, at half of
// what the engines read when all are kept; each has to be read once first.
func coldStart() *directPlay {
	p := newDirectPlay(12, 24, true)
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
	p := coldStart()
	rate := 0.0
	for _, s := range p.senders {
		rate += s.rate.rate() / float64(len(p.senders))
	}
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
