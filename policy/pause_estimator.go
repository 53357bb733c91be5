package policy

import (
	"math"
	"time"
)

const (
	// minPauseSamples is the number of streams of an urgency below which their pauses
	// don't affect decisions. maxPauseSamples bounds the weight of older streams.
	minPauseSamples = 16.0
	maxPauseSamples = 256.0
	// stddevPerMeanDeviation is the ratio of the standard deviation to the mean
	// deviation of a normal distribution.
	stddevPerMeanDeviation = 1.25
	// noiseMargin is the difference between two probabilities that isn't significant
	// with some twenty samples of each server.
	noiseMargin = 0.2
)

// Pause is the longest pause between the events of one stream at a server.
type Pause struct {
	Service Key
	Server  Key
	Urgency int
	Longest time.Duration
}

// PauseEstimator estimates the longest pause between events of streams at the servers of
// one service.
//
// Servers of a service may differ in speed, or in how many prompts they prefill between
// the tokens of other streams. A stream with a tight target for its pauses is then late
// at some servers, however early its first token, and on time at others. A server's
// slowdown relative to its service is estimated from the streams of all urgencies
// together; the mean and the deviation of pauses are estimated by urgency.
//
// Not safe for concurrent use.
type PauseEstimator struct {
	levels    [UrgencyLevels]pauseStats
	slowdowns slowdowns
}

// pauseStats describes the longest pauses of the streams of one urgency.
type pauseStats struct {
	// samples is the number of streams, up to maxPauseSamples.
	samples float64
	// meanMillis is the mean pause. deviation is the mean deviation from the expected
	// pause, as a fraction of it.
	meanMillis, deviation float64
}

// Observe records the longest pause of one stream.
func (p *PauseEstimator) Observe(now time.Time, pause Pause) {
	level := &p.levels[pause.Urgency]
	millis := toMillis(pause.Longest)
	if level.samples == 0 {
		level.meanMillis = millis
	}
	millis = min(millis, maxSlowdown*level.meanMillis)
	level.samples = min(level.samples+1, maxPauseSamples)
	if expected := level.meanMillis * p.slowdowns.factor(now, pause.Server); expected > 0 {
		level.deviation += (math.Abs(millis-expected)/expected - level.deviation) / level.samples
		p.slowdowns.observe(now, pause.Server, millis/level.meanMillis)
	}
	level.meanMillis += (millis - level.meanMillis) / level.samples
}

// ExcessRisk returns a server's excess probability, over the service's average server, of
// a pause longer than target, less a margin for differences that few samples explain. It is
// 0 without a target or with too few samples.
//
// If all servers are about equal, none may be preferred: all gateways would prefer the
// same few by chance and overload them.
func (p *PauseEstimator) ExcessRisk(now time.Time, server Key, urgency int, target time.Duration) float64 {
	const meanSlowdown = 1
	here, mean := p.lateProbability(p.slowdowns.factor(now, server), urgency, target), p.lateProbability(meanSlowdown, urgency, target)
	return max(here-mean-noiseMargin, 0)
}

// lateProbability returns the probability that a stream has a longer pause than its
// target at a server with the given slowdown. It is 0 without a target or with too few
// samples.
func (p *PauseEstimator) lateProbability(slowdown float64, urgency int, target time.Duration) float64 {
	level := &p.levels[urgency]
	if target == 0 || level.samples < minPauseSamples {
		return 0
	}
	expected := level.meanMillis * slowdown
	slack := toMillis(target) - expected
	stddev := stddevPerMeanDeviation * level.deviation * expected
	if stddev == 0 {
		return math.Round(min(max(0.5-slack, 0), 1))
	}
	return math.Erfc(slack/stddev/math.Sqrt2) / 2
}

// RemoveServer removes a server's estimate.
func (p *PauseEstimator) RemoveServer(server Key) { p.slowdowns.remove(server) }
