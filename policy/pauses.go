package policy

import (
	"math"
	"time"
)

const (
	// minPauseSamples is how many streams of an urgency have to be known before their
	// pauses decide anything, and longestPauses bounds the weight of older ones.
	minPauseSamples   = 16.0
	maxPauseSamples = 256.0
	// stddevPerMeanDeviation is the standard deviation by the mean one, of pauses that are
	// distributed normally.
	stddevPerMeanDeviation = 1.25
	// noiseMargin is the difference between two chances that some twenty samples of each
	// server leave noiseMargin.
	noiseMargin = 0.2
)

// Pause is the longest pause between the events of one stream at a server.
type Pause struct {
	Service Key
	Server  Key
	Urgency int
	Longest time.Duration
}

// Pauses learns how long the longest pauses of streams are at the servers of one
// service.
//
// It answers servers of one service that differ in speed, or that read more
// prompts between the tokens of others: a stream with a tight target for its
// pauses is late at some of them, however soon its first token came, and in time
// at the rest. A server's pace, against the mean of its service, is learned from
// streams of all urgencies together; how long pauses are, and how much they
// deviate, by urgency.
//
// Not safe for concurrent use.
type Pauses struct {
	levels [UrgencyLevels]pauseStats
	slowdowns  slowdowns
}

// pauseStats is how long the longest pauses of one urgency's streams are.
type pauseStats struct {
	// samples is how many streams are known, up to longestPauses.
	samples float64
	// meanMillis is their mean and deviation the mean deviation from what was
	// expected, as a part of it.
	meanMillis, deviation float64
}

// Observe takes the longest pause of one stream.
func (p *Pauses) Observe(now time.Time, one Pause) {
	level := &p.levels[one.Urgency]
	millis := toMillis(one.Longest)
	if level.samples == 0 {
		level.meanMillis = millis
	}
	millis = min(millis, maxSlowdown*level.meanMillis)
	level.samples = min(level.samples+1, maxPauseSamples)
	if expected := level.meanMillis * p.slowdowns.factor(now, one.Server); expected > 0 {
		level.deviation += (math.Abs(millis-expected)/expected - level.deviation) / level.samples
		p.slowdowns.observe(now, one.Server, millis/level.meanMillis)
	}
	level.meanMillis += (millis - level.meanMillis) / level.samples
}

// Worse is by how much the chance of a longer pause than the target is higher at a
// server than at the mean one, beyond what few samples explain; 0 where there is no
// target or too little is known.
//
// Where all servers are about alike none is to be preferred: all senders would prefer
// the same few, by chance, and fill them.
func (p *Pauses) Worse(now time.Time, server Key, urgency int, target time.Duration) float64 {
	const meanPace = 1
	at, mean := p.lateProbability(p.slowdowns.factor(now, server), urgency, target), p.lateProbability(meanPace, urgency, target)
	return max(at-mean-noiseMargin, 0)
}

// lateProbability is the chance that a stream has a longer pause than its target at a server of
// a pace; 0 where there is no target or too little is known.
func (p *Pauses) lateProbability(pace float64, urgency int, target time.Duration) float64 {
	level := &p.levels[urgency]
	if target == 0 || level.samples < minPauseSamples {
		return 0
	}
	expected := level.meanMillis * pace
	left := toMillis(target) - expected
	deviation := stddevPerMeanDeviation * level.deviation * expected
	if deviation == 0 {
		return math.Round(min(max(0.5-left, 0), 1))
	}
	return math.Erfc(left/deviation/math.Sqrt2) / 2
}

// Forget drops what is known of a server.
func (p *Pauses) Forget(server Key) { p.slowdowns.remove(server) }
