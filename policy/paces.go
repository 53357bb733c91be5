package policy

import (
	"maps"
	"math"
	"time"
)

const (
	// slowdownTimeConstant is over how long a server's pace is averaged, so that one that
	// turns slow or recovers is known while it matters, and one that was avoided is
	// tried again.
	slowdownTimeConstant = 10 * time.Second
	// slowdownPriorSamples is how many samples the mean of all servers counts for against a
	// server's own.
	slowdownPriorSamples = 2.0
	// slowdownMaxAge is after how long without a sample nothing is left of a pace.
	slowdownMaxAge = 10 * slowdownTimeConstant
	// maxSlowdown bounds a sample: a server that stood still tells of the fault, not of
	// its pace.
	maxSlowdown = 4.0
)

// slowdowns is how many times as long as the mean of its service each server takes for
// something, from samples that fade with time. The zero value knows of none.
type slowdowns struct {
	servers map[Key]*slowdown
	lastSweep   time.Time
}

// slowdown is a server's sum of samples, each a part of what was expected.
type slowdown struct {
	sum, weight float64
	lastSample        time.Time
}

// observe takes that a server took so many times as long as expected.
func (p *slowdowns) observe(now time.Time, server Key, times float64) {
	if p.servers == nil {
		p.servers = map[Key]*slowdown{}
	}
	p.sweep(now)
	at := p.servers[server]
	if at == nil {
		at = &slowdown{lastSample: now}
		p.servers[server] = at
	}
	kept := at.decay(now)
	at.sum, at.weight, at.lastSample = kept*at.sum+min(times, maxSlowdown), kept*at.weight+1, now
}

// factor is how many times as long a server takes; 1 for one that isn't known.
func (p *slowdowns) factor(now time.Time, server Key) float64 {
	at := p.servers[server]
	if at == nil {
		return 1
	}
	kept := at.decay(now)
	return (slowdownPriorSamples + kept*at.sum) / (slowdownPriorSamples + kept*at.weight)
}

// sweep drops the servers that nothing was heard of for long: others may tell of one
// that is gone.
func (p *slowdowns) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < slowdownMaxAge {
		return
	}
	p.lastSweep = now
	maps.DeleteFunc(p.servers, func(_ Key, at *slowdown) bool { return now.Sub(at.lastSample) > slowdownMaxAge })
}

func (p *slowdowns) remove(server Key) { delete(p.servers, server) }

// decay is what is left of older samples.
func (p *slowdown) decay(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(p.lastSample)) / float64(slowdownTimeConstant))
}
