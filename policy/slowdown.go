package policy

import (
	"maps"
	"math"
	"time"
)

const (
	// slowdownTimeConstant is the time in which a sample's weight decays to 1/e. It is
	// short enough to detect a server that becomes slow or recovers while that matters,
	// and to try a server again that was avoided.
	slowdownTimeConstant = 10 * time.Second
	// slowdownPriorSamples is the weight, in samples, of the mean of all servers in a
	// server's own estimate.
	slowdownPriorSamples = 2.0
	// slowdownMaxAge is the time without a sample after which a server is removed.
	slowdownMaxAge = 10 * slowdownTimeConstant
	// maxSlowdown bounds a sample: the time of a server that hung reflects the fault and
	// not the server's speed.
	maxSlowdown = 4.0
)

// slowdowns estimates each server's slowdown: the ratio of a time at this server to the
// mean over its service's servers, from exponentially decaying samples. The zero value is
// ready to use.
type slowdowns struct {
	servers   map[Key]*slowdown
	lastSweep time.Time
}

// slowdown is a server's decaying sum of samples, each a ratio of observed to expected
// time, and their total weight.
type slowdown struct {
	sum, weight float64
	lastSample  time.Time
}

// observe records a ratio of observed to expected time at a server.
func (s *slowdowns) observe(now time.Time, server Key, ratio float64) {
	if s.servers == nil {
		s.servers = map[Key]*slowdown{}
	}
	s.sweep(now)
	entry := s.servers[server]
	if entry == nil {
		entry = &slowdown{lastSample: now}
		s.servers[server] = entry
	}
	decay := entry.decay(now)
	entry.sum, entry.weight, entry.lastSample = decay*entry.sum+min(ratio, maxSlowdown), decay*entry.weight+1, now
}

// factor returns a server's slowdown; 1 for an unknown server.
func (s *slowdowns) factor(now time.Time, server Key) float64 {
	entry := s.servers[server]
	if entry == nil {
		return 1
	}
	decay := entry.decay(now)
	return (slowdownPriorSamples + decay*entry.sum) / (slowdownPriorSamples + decay*entry.weight)
}

// sweep removes servers without recent samples: other gateways may report on a server
// after it is gone.
func (s *slowdowns) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < slowdownMaxAge {
		return
	}
	s.lastSweep = now
	maps.DeleteFunc(s.servers, func(_ Key, entry *slowdown) bool { return now.Sub(entry.lastSample) > slowdownMaxAge })
}

func (s *slowdowns) remove(server Key) { delete(s.servers, server) }

// decay returns the factor by which the weight of older samples has decayed.
func (s *slowdown) decay(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(s.lastSample)) / float64(slowdownTimeConstant))
}
