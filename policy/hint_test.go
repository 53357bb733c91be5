package policy

import (
	"testing"
	"time"
)

// TestHintsAreHonest plays bursts of eight seconds on one engine and on four:
// coming back as told usually succeeds, and few are told to come back while
// the burst goes on, which would fail.
func TestHintsAreHonest(t *testing.T) {
	t.Parallel()
	for _, engines := range []int{1, 4} {
		for _, factor := range []float64{2, 4, 8} {
			p := newPlay(1, fleet(engines, 4)...)
			p.burstEnd = 38 * time.Second
			capacity := float64(engines) * newFakeEngine(4).capacity(questions(nil))
			q := questions(burst(0.2*capacity, factor*capacity, 30*time.Second, p.burstEnd))
			p.run(time.Minute, 15*time.Minute, flags(steady(2)), q)
			got := p.tally("question")
			mean := got.hinted / time.Duration(max(got.comeback, 1))
			t.Logf("%d engines, x%v: of %d refused %.2f succeeded on coming back; within the burst %d of %d; hint %v on average",
				engines, factor, got.comeback, got.honest(), got.soonIn, got.soon, mean)
			if got.honest() < 0.75 {
				t.Errorf("%d engines, x%v: %.2f succeeded on coming back", engines, factor, got.honest())
			}
			if got.soon*8 > got.comeback {
				t.Errorf("%d engines, x%v: %d of %d told to come back into the burst", engines, factor, got.soon, got.comeback)
			}
		}
	}
}
