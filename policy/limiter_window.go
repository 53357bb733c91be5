package policy

import (
	"slices"
	"time"
)

const (
	// windowSamples is how many first tokens are evaluated together: two rounds of a small
	// batch.
	windowSamples = 16
	// A settled limit is lowered after settledDelayedSamples delayed first tokens, if at each
	// of the last settledPendingFirstTokens first tokens another run was still waiting for its own.
	// Delayed first tokens alone prove little: times differ by a factor of ten between a
	// prompt that is in the engine's cache and one that isn't. But unless runs queue inside
	// the engine, there are moments in which none waits for its first token.
	settledDelayedSamples     = 4
	settledPendingFirstTokens = 12
	// probeDelayedSamples and probePendingFirstTokens are the same during ramp-up and while a higher
	// limit is probed. Ending a probe by mistake costs little; continuing a bad one delays
	// urgent runs.
	probeDelayedSamples     = 2
	probePendingFirstTokens = 6
	// probeSuccessSamples is the number of timely first tokens at the probe's depth with which
	// it succeeds.
	probeSuccessSamples = 8
	// intervalSamples is the number of times between tokens that are averaged: a few tokens
	// of each stream, since single ones jitter.
	intervalSamples = 32
)

// firstTokenSample records that the first token of a run arrived or became overdue.
type firstTokenSample struct {
	// depth is the number of runs on the engine when this one started, itself included.
	depth int
	// delayed is set if the first token took longer than the limiter's delayBound.
	delayed bool
}

// limiterWindow collects the observations since the limit last changed.
type limiterWindow struct {
	start time.Time
	// recent holds the last windowSamples first tokens.
	recent  [windowSamples]firstTokenSample
	samples int
	// timelyProbeSamples counts timely first tokens beyond the limit during a probe.
	timelyProbeSamples int
	// ratio is the recent mean of time between tokens divided by its target, by tier, and
	// ratioSamples the number of samples in it.
	ratio        [tierCount]float64
	ratioSamples [tierCount]int
	// maxStreamsAtDelay is the largest number of streams that produced tokens when a first
	// token was delayed. It estimates how many runs of this agent fit into the engine's batch.
	maxStreamsAtDelay int
	// slotsExhausted is set if a ticket waited because no slot was free.
	slotsExhausted bool
}

// addFirstToken adds a sample; streaming is the number of streams that produce tokens now.
func (w *limiterWindow) addFirstToken(sample firstTokenSample, streaming int) {
	if sample.delayed {
		w.maxStreamsAtDelay = max(w.maxStreamsAtDelay, streaming)
	}
	w.recent[w.samples%windowSamples] = sample
	w.samples++
}

// addInterval adds a tier's time between tokens, divided by its target.
func (w *limiterWindow) addInterval(tier Tier, ratio float64) {
	w.ratioSamples[tier]++
	weight := max(1.0/intervalSamples, 1/float64(w.ratioSamples[tier]))
	w.ratio[tier] += weight * (ratio - w.ratio[tier])
}

// indicatesQueueing reports whether the samples indicate that runs queue inside the engine: at
// least minDelayed first tokens were delayed and, at their median depth and beyond, more were
// delayed than not. Timely ones at a smaller depth prove nothing, and a few delays at any
// depth are noise.
func (w *limiterWindow) indicatesQueueing(minDelayed int) bool {
	recent := w.recent[:min(w.samples, windowSamples)]
	var depths []int
	for _, s := range recent {
		if s.delayed {
			depths = append(depths, s.depth)
		}
	}
	if len(depths) < minDelayed {
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

// worstRatio returns the highest ratio of time between tokens to its target among the tiers;
// zero if there are too few samples.
func (w *limiterWindow) worstRatio() float64 {
	worst := 0.0
	for tier, n := range w.ratioSamples {
		if n >= intervalSamples {
			worst = max(worst, w.ratio[tier])
		}
	}
	return worst
}
