package policy

import "time"

const (
	// initialLimit is the limit of an engine without measurements. Small engines
	// take a batch of eight; if it is too many, the excess waits inside the
	// engine for at most the length of one run.
	initialLimit = 8
	// minLimit leaves one slot for the urgent tiers and one for the others.
	minLimit = 2
	// maxLimit bounds the state kept for one engine.
	maxLimit = 512
	// minCutFactor is the smallest factor of a single decrease, so that outliers
	// cost at most half of the engine's slots.
	minCutFactor = 0.5
	// maxGrowthRatio is the ratio of the time between tokens to its target at
	// which the limit stops growing. Each additional stream raises the time
	// between tokens by about a twentieth.
	maxGrowthRatio = 0.95
	// delayFactor is how many times its baseline a first token may take before it
	// counts as delayed inside the engine. Prefilling a prompt beside a full
	// batch takes up to twice as long as alone.
	delayFactor = 3
	// firstTokenTargetDivisor limits the engine to one quarter of the target for
	// the first token. The rest is left for waiting in the queue, where the order
	// can still change.
	firstTokenTargetDivisor = 4
	// minEngineDelay is a delay that never counts as queueing, whatever the
	// baseline: about the scheduling noise of a busy VM.
	minEngineDelay = 50 * time.Millisecond
	// minProbePause and maxProbePause bound the pause between two probes of a
	// higher limit; the pause doubles with each failed probe.
	minProbePause = 5 * time.Second
	maxProbePause = 30 * time.Second
	// maxProbeDuration ends a probe that has too few samples for a decision.
	maxProbeDuration = 5 * time.Second
)

// concurrencyLimiter controls how many runs execute concurrently on an engine. It
// lowers the limit when first tokens indicate that runs queue inside the engine,
// or when the time between tokens exceeds the target of the running requests. It
// probes for spare capacity by allowing additional runs.
//
// The capacity of an engine is unknown and changes, because engines also carry
// other load. If the limit is too high, runs wait inside the engine, where an
// urgent one can't overtake them, and all streams are slow. If it is too low, the
// engine idles while tickets wait.
//
// On a cold engine every timely first token adds a slot while tickets wait, which
// doubles the limit in one round of first tokens. The first sign of queueing
// inside the engine sets the limit to the number of streams that actually ran at
// the same time, which is the engine's batch size. From then on the limit grows
// by probes of one additional slot, then two and four while they succeed, and
// shrinks by at most half at a time.
type concurrencyLimiter struct {
	// limit is the number of runs that may execute concurrently, and ramping is
	// set until the first decrease.
	limit   int
	ramping bool
	// probing is set while a probe allows more runs than the limit.
	probing bool
	// probeStep is the number of additional slots of a probe; it doubles with
	// each success.
	probeStep int
	// nextProbe is the earliest start of the next probe, and probePause the pause
	// before it.
	nextProbe  time.Time
	probePause time.Duration
	// baseline is the usual time to the first token, and window the samples since
	// the limit last changed.
	baseline baseline
	window   limiterWindow
	// streaming is the number of runs that have produced a first token and
	// haven't ended.
	streaming int
	// firstTokensSinceNonePending counts first tokens; it is reset when no run
	// waits for its first token.
	firstTokensSinceNonePending int
}

// newConcurrencyLimiter returns a limiter for an engine without measurements.
func newConcurrencyLimiter() concurrencyLimiter {
	return concurrencyLimiter{limit: initialLimit, ramping: true, probePause: minProbePause, probeStep: 1}
}

// delayed reports whether a first token that took d, or is still missing after d,
// was delayed inside the engine.
func (l *concurrencyLimiter) delayed(t Ticket, d time.Duration) bool {
	bound := l.delayBound(t)
	return bound > 0 && d > bound
}

// delayBound returns the longest time to the first token that doesn't indicate
// queueing inside the engine; zero if unknown. Whatever the baseline, the engine
// may use at most a quarter of the target, but always minEngineDelay beyond the
// baseline.
func (l *concurrencyLimiter) delayBound(t Ticket) time.Duration {
	baseline := l.baseline.forSize(ticketSize(t))
	if baseline == 0 {
		return t.FirstToken / firstTokenTargetDivisor
	}
	bound := max(delayFactor*baseline, baseline+minEngineDelay)
	if t.FirstToken > 0 {
		bound = min(bound, max(t.FirstToken/firstTokenTargetDivisor, baseline+minEngineDelay))
	}
	return bound
}

// probeSlots returns the number of runs beyond the limit that the current probe
// allows.
func (l *concurrencyLimiter) probeSlots() int {
	if l.probing {
		return l.probeStep
	}
	return 0
}

// observeSlotsExhausted records that a ticket waits because no slot is free, and
// starts a probe if one is due.
func (l *concurrencyLimiter) observeSlotsExhausted(now time.Time) {
	l.window.slotsExhausted = true
	if l.ramping || l.probing || now.Before(l.nextProbe) || l.window.worstRatio() >= maxGrowthRatio {
		return
	}
	l.probing = true
	l.resetWindow(now)
}

// observeFirstToken records the first token of a run; pending is the number of
// other runs still without one.
func (l *concurrencyLimiter) observeFirstToken(now time.Time, r *run, pending int) {
	l.streaming++
	l.firstTokensSinceNonePending++
	if pending == 0 {
		l.firstTokensSinceNonePending = 0
	}
	d := now.Sub(r.started)
	delayed := l.delayed(r.ticket, d)
	l.baseline.observe(now, ticketSize(r.ticket), d)
	if !r.overdue {
		l.addSample(now, r, delayed)
	}
}

// observeOverdue records that the first token of a run is delayed and hasn't
// arrived.
func (l *concurrencyLimiter) observeOverdue(now time.Time, r *run) {
	l.addSample(now, r, true)
}

// addSample adds a first token that has arrived or is overdue to the window and
// adjusts the limit.
func (l *concurrencyLimiter) addSample(now time.Time, r *run, delayed bool) {
	if !l.ramping && r.started.Before(l.window.start) {
		// The run started under a different limit.
		return
	}
	l.window.addFirstToken(firstTokenSample{depth: r.depth, delayed: delayed}, l.streaming)
	if !delayed {
		l.addTimelySample(r.depth)
	}
	l.adjust(now)
}

// addTimelySample counts a timely first token towards the current probe, and
// raises the limit during ramp-up if all slots are in use.
func (l *concurrencyLimiter) addTimelySample(depth int) {
	if l.probing && depth >= l.limit+l.probeStep {
		l.window.timelyProbeSamples++
	}
	inUse := l.window.slotsExhausted && depth >= l.limit-reservedSlots(l.limit)
	if l.ramping && inUse && l.window.worstRatio() < maxGrowthRatio {
		l.limit = min(l.limit+1, maxLimit)
		l.window.slotsExhausted = false
	}
}

// observeInterval records the time between tokens of a run. The caller passes it
// only while no more runs execute than the limit and a probe allow: after a
// decrease, surplus streams continue for a while and would distort it. The runs
// that a probe adds do count, because the probe measures their effect.
func (l *concurrencyLimiter) observeInterval(now time.Time, t Ticket, d time.Duration) {
	if t.BetweenTokens <= 0 {
		return
	}
	l.window.addInterval(t.Tier, float64(d)/float64(t.BetweenTokens))
	l.adjust(now)
}

// observeStreamEnd records the end of a run that had produced its first token.
func (l *concurrencyLimiter) observeStreamEnd() {
	l.streaming--
}

// adjust lowers the limit or evaluates the current probe, as the window requires.
func (l *concurrencyLimiter) adjust(now time.Time) {
	ratio := l.window.worstRatio()
	switch {
	case l.engineQueues():
		l.lower(now, l.window.maxStreamsAtDelay)
	case ratio > 1:
		l.lower(now, int(float64(l.limit)/ratio))
	case l.probing:
		l.evaluateProbe(now)
	}
}

// engineQueues reports whether runs persistently queue inside the engine.
func (l *concurrencyLimiter) engineQueues() bool {
	if l.ramping || l.probing {
		return l.firstTokensSinceNonePending >= probePendingFirstTokens && l.window.indicatesQueueing(probeDelayedSamples)
	}
	return l.firstTokensSinceNonePending >= settledPendingFirstTokens && l.window.indicatesQueueing(settledDelayedSamples)
}

// evaluateProbe ends a successful probe, keeps its slots and starts the next one
// at once. It ends a probe without a result after maxProbeDuration.
func (l *concurrencyLimiter) evaluateProbe(now time.Time) {
	if l.window.timelyProbeSamples >= probeSuccessSamples && l.window.worstRatio() < maxGrowthRatio {
		l.limit = min(l.limit+l.probeStep, maxLimit)
		l.probeStep = min(2*l.probeStep, max(1, l.limit/4))
		l.probePause = minProbePause
		l.resetWindow(now)
		return
	}
	if now.Sub(l.window.start) >= maxProbeDuration {
		l.failProbe(now)
	}
}

// failProbe ends a probe without raising the limit and doubles the pause before
// the next.
func (l *concurrencyLimiter) failProbe(now time.Time) {
	l.probing = false
	l.probeStep = 1
	l.probePause = min(2*l.probePause, maxProbePause)
	l.nextProbe = now.Add(l.probePause)
	l.resetWindow(now)
}

// lower reduces the limit towards target. During a probe it only ends the probe.
func (l *concurrencyLimiter) lower(now time.Time, target int) {
	if l.probing {
		l.failProbe(now)
		return
	}
	lowest := max(minLimit, int(float64(l.limit)*minCutFactor))
	if l.ramping {
		lowest = minLimit
	}
	l.limit = min(l.limit, max(lowest, min(target, l.limit-1)))
	l.ramping = false
	l.nextProbe = now.Add(l.probePause)
	l.resetWindow(now)
}

// resetWindow starts a new window of samples.
func (l *concurrencyLimiter) resetWindow(now time.Time) {
	l.window = limiterWindow{start: now}
}
