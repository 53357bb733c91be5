package policy

import (
	"maps"
	"math"
	"time"
)

const (
	// paceMemory is over how long a server's pace is averaged, so that one that
	// turns slow or recovers is known while it matters, and one that was avoided is
	// tried again.
	paceMemory = 10 * time.Second
	// pacePrior is how many samples the mean of all servers counts for against a
	// server's own.
	pacePrior = 2.0
	// paceForgotten is after how long without a sample nothing is left of a pace.
	paceForgotten = 10 * paceMemory
	// mostPace bounds a sample: a server that stood still tells of the fault, not of
	// its pace.
	mostPace = 4.0
)

// paces is how many times as long as the mean of its service each server takes for
// something, from samples that fade with time. The zero value knows of none.
type paces struct {
	servers map[Key]*pace
	swept   time.Time
}

// pace is a server's sum of samples, each a part of what was expected.
type pace struct {
	sum, weight float64
	last        time.Time
}

// observe takes that a server took so many times as long as expected.
func (p *paces) observe(now time.Time, server Key, times float64) {
	if p.servers == nil {
		p.servers = map[Key]*pace{}
	}
	p.sweep(now)
	at := p.servers[server]
	if at == nil {
		at = &pace{last: now}
		p.servers[server] = at
	}
	kept := at.kept(now)
	at.sum, at.weight, at.last = kept*at.sum+min(times, mostPace), kept*at.weight+1, now
}

// of is how many times as long a server takes; 1 for one that isn't known.
func (p *paces) of(now time.Time, server Key) float64 {
	at := p.servers[server]
	if at == nil {
		return 1
	}
	kept := at.kept(now)
	return (pacePrior + kept*at.sum) / (pacePrior + kept*at.weight)
}

// sweep drops the servers that nothing was heard of for long: others may tell of one
// that is gone.
func (p *paces) sweep(now time.Time) {
	if now.Sub(p.swept) < paceForgotten {
		return
	}
	p.swept = now
	maps.DeleteFunc(p.servers, func(_ Key, at *pace) bool { return now.Sub(at.last) > paceForgotten })
}

func (p *paces) forget(server Key) { delete(p.servers, server) }

// kept is what is left of older samples.
func (p *pace) kept(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(p.last)) / float64(paceMemory))
}
