package policy

import (
	"math"
	"time"
)

const (
	// leastPauses is how many streams of an urgency have to be known before their
	// pauses decide anything, and longestPauses bounds the weight of older ones.
	leastPauses   = 16.0
	longestPauses = 256.0
	// normalDeviation is the standard deviation by the mean one, of pauses that are
	// distributed normally.
	normalDeviation = 1.25
	// unclear is the difference between two chances that some twenty samples of each
	// server leave unclear.
	unclear = 0.2
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
	levels [UrgencyLevels]pauseLevel
	paces  paces
}

// pauseLevel is how long the longest pauses of one urgency's streams are.
type pauseLevel struct {
	// count is how many streams are known, up to longestPauses.
	count float64
	// millis is their mean and deviation the mean deviation from what was
	// expected, as a part of it.
	millis, deviation float64
}

// Observe takes the longest pause of one stream.
func (p *Pauses) Observe(now time.Time, one Pause) {
	level := &p.levels[one.Urgency]
	millis := inMillis(one.Longest)
	if level.count == 0 {
		level.millis = millis
	}
	millis = min(millis, mostPace*level.millis)
	level.count = min(level.count+1, longestPauses)
	if expected := level.millis * p.paces.of(now, one.Server); expected > 0 {
		level.deviation += (math.Abs(millis-expected)/expected - level.deviation) / level.count
		p.paces.observe(now, one.Server, millis/level.millis)
	}
	level.millis += (millis - level.millis) / level.count
}

// Worse is by how much the chance of a longer pause than the target is higher at a
// server than at the mean one, beyond what few samples explain; 0 where there is no
// target or too little is known.
//
// Where all servers are about alike none is to be preferred: all senders would prefer
// the same few, by chance, and fill them.
func (p *Pauses) Worse(now time.Time, server Key, urgency int, target time.Duration) float64 {
	const meanPace = 1
	at, mean := p.late(p.paces.of(now, server), urgency, target), p.late(meanPace, urgency, target)
	return max(at-mean-unclear, 0)
}

// late is the chance that a stream has a longer pause than its target at a server of
// a pace; 0 where there is no target or too little is known.
func (p *Pauses) late(pace float64, urgency int, target time.Duration) float64 {
	level := &p.levels[urgency]
	if target == 0 || level.count < leastPauses {
		return 0
	}
	expected := level.millis * pace
	left := inMillis(target) - expected
	deviation := normalDeviation * level.deviation * expected
	if deviation == 0 {
		return math.Round(min(max(0.5-left, 0), 1))
	}
	return math.Erfc(left/deviation/math.Sqrt2) / 2
}

// Forget drops what is known of a server.
func (p *Pauses) Forget(server Key) { p.paces.forget(server) }
