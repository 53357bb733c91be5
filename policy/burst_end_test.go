package policy

import (
	"fmt"
	"testing"
	"time"
)

// slowForAWhile plays summaries of all lengths at half of what the engines read, which are
// five times as slow for four seconds; counted are those that come later than a second after.
func slowForAWhile(seed uint64) *directPlay {
	const slowFrom, slowTo, counted, end = 3 * time.Second, 7 * time.Second, 8 * time.Second, 12 * time.Second
	p := newSeededPlay(seed, 24, 12, true)
	p.expectUnseen, p.sharedFirsts, p.chunk = true, true, 1024
	p.countFrom = counted
	slow := func(times float64) func() {
		return func() {
			for _, e := range p.engines {
				e.slower = times
			}
		}
	}
	p.after(slowFrom, slow(5))
	p.after(slowTo, slow(1))
	p.summaries(0.5, end)
	p.run(end + 3*time.Second)
	return p
}

// Guards against prompts being refused by engines that are idle again after a burst, by a rate
// that was learned while they were slow and that those which are refused can't correct.
func TestIdleEnginesAreUsedAfterABurst(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			p := slowForAWhile(seed)
			inTime, arrived := p.onTime["summary"], p.arrived["summary"]
			t.Logf("in time %d of %d", inTime, arrived)
			if 10*inTime < 9*arrived {
				t.Errorf("%d of %d in time, at engines that could read twice as much", inTime, arrived)
			}
		})
	}
}
