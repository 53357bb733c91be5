package policy

import "time"

const (
	// coldLimit is the limit of an engine of which nothing is known: a batch
	// of eight is what small engines take, and what is too many waits in the
	// engine for one run at most.
	coldLimit = 8
	// minLimit leaves one slot to the urgent tiers and one to the others.
	minLimit = 2
	// maxLimit bounds the state of one engine.
	maxLimit = 512
	// steepestCut bounds one step down, so that unlucky samples cost half of
	// the engine at most.
	steepestCut = 0.5
	// holdRatio is where the limit stops growing for the time between
	// tokens: that grows with each stream, by about a twentieth.
	holdRatio = 0.95
	// queueFactor is how many times its baseline a first token may take
	// before it counts as delayed inside the engine: reading a prompt beside
	// a full batch takes up to two times as long as alone.
	queueFactor = 3
	// targetPart is the part of a target for the first token, one in four,
	// that the engine may use: the rest is for waiting where order can still
	// change.
	targetPart = 4
	// queueFloor is a delay that is never taken as a sign, whatever the
	// baseline: about the scheduling noise of a busy VM.
	queueFloor = 50 * time.Millisecond
	// probeSoonest and probeLatest bound the pause between two trials of
	// more runs; it doubles with each trial that fails.
	probeSoonest = 5 * time.Second
	probeLatest  = 30 * time.Second
	// probeLength ends a trial that saw too little to judge.
	probeLength = 5 * time.Second
)

// limiter decides how much runs at once on an engine. It lowers the limit
// when first tokens show that runs wait inside the engine, or when the time
// between tokens is above the target of what runs, and looks for room by
// trials of a run more.
//
// It answers engines whose capacity isn't known and changes, since they carry
// load of others too. With too high a limit runs wait inside the engine,
// where an urgent one can't pass them, and all streams are slow; with too low
// a one the engine idles while tickets wait.
//
// The steps: on a cold engine every good first token adds a slot while
// tickets wait, which doubles the limit in one round of first tokens. The
// first sign of waiting inside the engine sets the limit to the streams that
// really ran at once, which is the engine's batch. From then on it moves up
// by trials of one slot more, then of two and four while they succeed, and
// down by half at most.
type limiter struct {
	limit   int
	ramping bool
	probing bool
	// step is by how much a trial goes past the limit; it doubles with each
	// that succeeds.
	step int
	// probeAt and probePause time the trials.
	probeAt    time.Time
	probePause time.Duration
	baseline   baseline
	window     limitWindow
	streaming  int
	// standing counts first tokens since every run had its own.
	standing int
}

func newLimiter() limiter {
	return limiter{limit: coldLimit, ramping: true, probePause: probeSoonest, step: 1}
}

// delayed reports whether a first token that took, or has taken so far, d was
// held up inside the engine.
func (l *limiter) delayed(t Ticket, d time.Duration) bool {
	bound := l.delayBound(t)
	return bound > 0 && d > bound
}

// delayBound is the longest time to the first token that is no sign of a
// queue inside the engine; zero when nothing is known. Whatever is usual, a
// quarter of the target is the most that the engine may use of it.
func (l *limiter) delayBound(t Ticket) time.Duration {
	base := l.baseline.of(ticketSize(t))
	if base == 0 {
		return t.FirstToken / targetPart
	}
	bound := max(queueFactor*base, base+queueFloor)
	if t.FirstToken > 0 {
		bound = min(bound, max(t.FirstToken/targetPart, base+queueFloor))
	}
	return bound
}

// trial is by how much a trial goes past the limit now.
func (l *limiter) trial() int {
	if l.probing {
		return l.step
	}
	return 0
}

// full says that a ticket waits for want of a slot; it begins a trial when
// one is due.
func (l *limiter) full(now time.Time) {
	l.window.full = true
	if l.ramping || l.probing || now.Before(l.probeAt) || l.window.worstRatio() >= holdRatio {
		return
	}
	l.probing = true
	l.renew(now)
}

// firstToken takes the first token of a run; pending says how many others
// still wait for theirs.
func (l *limiter) firstToken(now time.Time, r *run, pending int) {
	l.streaming++
	l.standing++
	if pending == 0 {
		l.standing = 0
	}
	d := now.Sub(r.started)
	delayed := l.delayed(r.ticket, d)
	l.baseline.observe(now, ticketSize(r.ticket), d)
	if !r.overdue {
		l.sample(now, r, delayed)
	}
}

// overdue takes a run that still has no first token after longer than it
// should.
func (l *limiter) overdue(now time.Time, r *run) {
	l.sample(now, r, true)
}

func (l *limiter) sample(now time.Time, r *run, delayed bool) {
	if !l.ramping && r.started.Before(l.window.start) {
		// It began under another limit.
		return
	}
	l.window.firstToken(firstTokenSample{depth: r.depth, delayed: delayed}, l.streaming)
	if !delayed {
		l.goodSample(r.depth)
	}
	l.judge(now)
}

// goodSample widens a ramping limit that is in use, and counts for a trial.
func (l *limiter) goodSample(depth int) {
	if l.probing && depth >= l.limit+l.step {
		l.window.good++
	}
	inUse := l.window.full && depth >= l.limit-reserveOf(l.limit)
	if l.ramping && inUse && l.window.worstRatio() < holdRatio {
		l.limit = min(l.limit+1, maxLimit)
		l.window.full = false
	}
}

// interval takes a run's time between tokens, when no more run than the limit
// and a trial allow: after a cut the streams that are too many still run for a
// while. A trial runs beyond the limit all the time, and is to be judged.
func (l *limiter) interval(now time.Time, t Ticket, d time.Duration) {
	if t.BetweenTokens <= 0 {
		return
	}
	l.window.interval(t.Tier, float64(d)/float64(t.BetweenTokens))
	l.judge(now)
}

// ended takes that a stream ended.
func (l *limiter) ended() {
	l.streaming--
}

func (l *limiter) judge(now time.Time) {
	ratio := l.window.worstRatio()
	switch {
	case l.queued():
		l.cut(now, l.window.streams)
	case ratio > 1:
		l.cut(now, int(float64(l.limit)/ratio))
	case l.probing:
		l.judgeProbe(now)
	}
}

// queued reports whether runs wait inside the engine all the time.
func (l *limiter) queued() bool {
	if l.ramping || l.probing {
		return l.standing >= exploreRuns && l.window.queued(exploreSamples)
	}
	return l.standing >= standingRuns && l.window.queued(judgeSamples)
}

// judgeProbe ends a trial: when it is proven the slot stays and the next
// trial follows at once.
func (l *limiter) judgeProbe(now time.Time) {
	if l.window.good >= goodSamples && l.window.worstRatio() < holdRatio {
		l.limit = min(l.limit+l.step, maxLimit)
		l.step = min(2*l.step, max(1, l.limit/4))
		l.probePause = probeSoonest
		l.renew(now)
		return
	}
	if now.Sub(l.window.start) >= probeLength {
		l.endProbe(now)
	}
}

func (l *limiter) endProbe(now time.Time) {
	l.probing = false
	l.step = 1
	l.probePause = min(2*l.probePause, probeLatest)
	l.probeAt = now.Add(l.probePause)
	l.renew(now)
}

// cut lowers the limit towards a number, or ends the trial that went too far.
func (l *limiter) cut(now time.Time, to int) {
	if l.probing {
		l.endProbe(now)
		return
	}
	least := max(minLimit, int(float64(l.limit)*steepestCut))
	if l.ramping {
		least = minLimit
	}
	l.limit = min(l.limit, max(least, min(to, l.limit-1)))
	l.ramping = false
	l.probeAt = now.Add(l.probePause)
	l.renew(now)
}

// renew begins a new window.
func (l *limiter) renew(now time.Time) {
	l.window = limitWindow{start: now}
}
