package policy

import "time"

const (
	// windowSamples is how many first tokens a step of the limit is judged
	// on. The median of eight ignores up to three stragglers by chance.
	windowSamples = 8
	// intervalSamples is how many times between tokens a step is judged on.
	intervalSamples = 16
)

// limitWindow gathers what was seen since the limit last changed.
type limitWindow struct {
	start time.Time
	// recent says of the last windowSamples first tokens whether they were
	// late for the engine's own baseline.
	recent  [windowSamples]bool
	samples int
	// ratio is the recent mean of time between tokens over target, by tier,
	// and ratios counts what it was made of.
	ratio  [tierCount]float64
	ratios [tierCount]int
	// streams is the most streams that gave tokens at the same time.
	streams int
	// full says that a ticket waited for want of a slot.
	full bool
}

func newLimitWindow(now time.Time, streaming int) limitWindow {
	return limitWindow{start: now, streams: streaming}
}

func (w *limitWindow) firstToken(delayed bool) {
	w.recent[w.samples%windowSamples] = delayed
	w.samples++
}

func (w *limitWindow) interval(tier Tier, ratio float64) {
	w.ratios[tier]++
	weight := max(1.0/intervalSamples, 1/float64(w.ratios[tier]))
	w.ratio[tier] += weight * (ratio - w.ratio[tier])
}

// queued reports whether runs wait inside the engine: at least half of the
// recent first tokens were late, of at least half a window.
func (w *limitWindow) queued() bool {
	n := min(w.samples, windowSamples)
	late := 0
	for _, delayed := range w.recent[:n] {
		if delayed {
			late++
		}
	}
	return n >= windowSamples/2 && 2*late >= n
}

// worstRatio is the time between tokens over its target of the tier that is
// worst off; zero when too little was seen.
func (w *limitWindow) worstRatio() float64 {
	worst := 0.0
	for tier, n := range w.ratios {
		if n >= intervalSamples {
			worst = max(worst, w.ratio[tier])
		}
	}
	return worst
}
