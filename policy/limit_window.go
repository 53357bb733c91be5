package policy

import (
	"slices"
	"time"
)

const (
	// windowSamples is how many first tokens are looked at together: two
	// rounds of a small batch.
	windowSamples = 16
	// judgeSamples is how many delayed first tokens lower a settled limit,
	// and standingRuns how many runs in a row must have left another one
	// without its first token behind them. Times to the first token differ
	// by ten times between a prompt that is in the engine's cache and one
	// that isn't, so that late ones alone prove little; but without a queue
	// there are moments in which every run has its first token.
	judgeSamples = 4
	standingRuns = 12
	// exploreSamples and exploreRuns are the same for a trial of a higher
	// limit. Stopping a trial by mistake costs little, going on with one
	// delays urgent runs.
	exploreSamples = 2
	exploreRuns    = 6
	// goodSamples is how many good first tokens at its depth prove a trial.
	goodSamples = 8
	// intervalSamples is over how many times between tokens they are averaged:
	// a few tokens of each stream, since single ones jitter.
	intervalSamples = 32
)

// firstTokenSample is one run's first token, or the lack of it.
type firstTokenSample struct {
	// depth is how many runs were on the engine when it began, itself too.
	depth int
	// delayed says that it was late for the engine's own baseline.
	delayed bool
}

// limitWindow gathers what was seen since the limit last changed.
type limitWindow struct {
	start time.Time
	// recent holds the last windowSamples first tokens.
	recent  [windowSamples]firstTokenSample
	samples int
	// good counts first tokens in time beyond the limit, in a trial.
	good int
	// ratio is the recent mean of time between tokens over target, by tier,
	// and ratios counts what it was made of.
	ratio  [tierCount]float64
	ratios [tierCount]int
	// streams is the most streams that gave tokens at the time of a delayed
	// first token: that many the engine takes of ours when it is full.
	streams int
	// full says that a ticket waited for want of a slot.
	full bool
}

func (w *limitWindow) firstToken(sample firstTokenSample, streaming int) {
	if sample.delayed {
		w.streams = max(w.streams, streaming)
	}
	w.recent[w.samples%windowSamples] = sample
	w.samples++
}

func (w *limitWindow) interval(tier Tier, ratio float64) {
	w.ratios[tier]++
	weight := max(1.0/intervalSamples, 1/float64(w.ratios[tier]))
	w.ratio[tier] += weight * (ratio - w.ratio[tier])
}

// queued reports whether runs wait inside the engine: at the depth where
// first tokens were delayed, and beyond, more were delayed than not. Good ones
// at a smaller depth say nothing, and a few delays at any depth are noise.
func (w *limitWindow) queued(least int) bool {
	recent := w.recent[:min(w.samples, windowSamples)]
	var depths []int
	for _, s := range recent {
		if s.delayed {
			depths = append(depths, s.depth)
		}
	}
	if len(depths) < least {
		return false
	}
	slices.Sort(depths)
	depth := depths[len(depths)/2]
	balance := 0
	for _, s := range recent {
		switch {
		case s.depth < depth:
		case s.delayed:
			balance++
		default:
			balance--
		}
	}
	return balance > 0
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
