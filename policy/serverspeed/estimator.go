// Package serverspeed estimates how fast each server of a service decodes, relative to the
// others. Start reading at Estimator.
package serverspeed

import (
	"maps"
	"math"
	"time"

	"github.com/applepier/applepier/policy"
)

const (
	// MaxInterval is the longest interval that is accepted as a sample. A longer one reflects
	// a fault and not the server's speed.
	MaxInterval = 10 * time.Second
	// distinguishAbove is the difference from the servers of ordinary speed above which a
	// server is distinguished, and ordinaryBelow the one below which it no longer is. Samples
	// of equal servers vary by about a tenth.
	distinguishAbove = 0.2
	ordinaryBelow    = 0.1
	// clearDifference is the difference above which a server of which little is known is
	// distinguished at once: a burst that begins with the traffic is half over otherwise.
	clearDifference = 0.4
	// maxRatio bounds the slowdown and its reciprocal.
	maxRatio = 4.0
)

// Estimator estimates the slowdown of the servers of one service: the ratio of a server's
// interval between events to the mean over the servers.
//
// Servers whose intervals are about equal share one slowdown, the ratio of their mean to the
// mean over all, so that equal servers aren't distinguished by chance: all gateways would
// otherwise prefer the same few and overload them. The other servers are distinguished and
// have a slowdown each.
//
// The zero value is ready to use. Not safe for concurrent use.
type Estimator struct {
	servers map[policy.Key]*serverStats
	// startedAt is the time of the first call. Periods are counted from it by the monotonic clock,
	// which steps of the time of day don't affect.
	startedAt time.Time
	// estimatedIn is the period for which slowdowns were last estimated.
	estimatedIn int64
	// faster and slower are the numbers of distinguished servers.
	faster, slower int
}

// Observe records the interval between events of streams at a server. It ignores intervals that
// aren't positive or exceed 10 s.
func (e *Estimator) Observe(now time.Time, server policy.Key, interval time.Duration) {
	if interval <= 0 || interval > MaxInterval {
		return
	}
	e.update(now)
	s := e.servers[server]
	if s == nil {
		if e.servers == nil {
			e.servers = map[policy.Key]*serverStats{}
		}
		s = &serverStats{slowdown: 1}
		e.servers[server] = s
	}
	s.add(e.periodOf(now), interval)
}

// Slowdown returns a server's slowdown, from 1/4 to 4. It is 1 for a server that is as fast as
// the average or whose speed is unknown.
func (e *Estimator) Slowdown(now time.Time, server policy.Key) float64 {
	e.update(now)
	s := e.servers[server]
	if s == nil {
		return 1
	}
	return s.slowdown
}

// periodOf returns the number of the period in which a time is; the first one is 1.
func (e *Estimator) periodOf(t time.Time) int64 {
	if e.startedAt.IsZero() {
		e.startedAt = t
	}
	return 1 + int64(t.Sub(e.startedAt)/periodLength)
}

// RemoveServer discards what is known of a server.
func (e *Estimator) RemoveServer(server policy.Key) { delete(e.servers, server) }

// Distinguished returns the numbers of servers that are faster and slower than most.
func (e *Estimator) Distinguished(now time.Time) (faster, slower int) {
	e.update(now)
	return e.faster, e.slower
}

// update estimates all slowdowns anew, once in a period, and discards servers without recent
// samples.
func (e *Estimator) update(now time.Time) {
	period := e.periodOf(now)
	if period <= e.estimatedIn {
		return
	}
	e.estimatedIn = period
	maps.DeleteFunc(e.servers, func(_ policy.Key, s *serverStats) bool { return s.expired(period) })
	ordinaryMean := e.group(period)
	sum, known := 0.0, 0
	for _, s := range e.servers {
		if s.known {
			s.interval = min(max(s.interval, ordinaryMean/maxRatio), ordinaryMean*maxRatio)
			sum += s.interval
			known++
		}
	}
	e.faster, e.slower = 0, 0
	for _, s := range e.servers {
		if s.different && s.isNew() && difference(s.interval, ordinaryMean) > clearDifference {
			s.differentFor = minDifferent
		} else if s.different {
			s.differentFor = min(s.differentFor+1, minDifferent)
		} else {
			s.differentFor = 0
		}
		switch mean := sum / float64(known); {
		case !s.known:
			s.slowdown = 1
		case !s.distinguished():
			s.slowdown = ordinaryMean / mean
		default:
			s.slowdown = min(max(s.interval/mean, 1/maxRatio), maxRatio)
			if s.interval < ordinaryMean {
				e.faster++
			} else {
				e.slower++
			}
		}
	}
	if e.faster+e.slower == 0 {
		// Rounding errors must not make a difference.
		for _, s := range e.servers {
			s.slowdown = 1
		}
	}
}

// group estimates the intervals of all servers, decides which are different, and returns the
// mean interval of the others; 0 if no server's speed is known.
func (e *Estimator) group(period int64) float64 {
	var ordinary, different []*serverStats
	for _, s := range e.servers {
		s.estimate(period)
		switch {
		case !s.known:
		case s.different:
			different = append(different, s)
		default:
			ordinary = append(ordinary, s)
		}
	}
	if len(different) > len(ordinary) {
		// The servers of ordinary speed are the larger group.
		ordinary, different = append(ordinary, different...), nil
	}
	mean := meanInterval(ordinary)
	for _, s := range different {
		if difference(s.interval, mean) < ordinaryBelow {
			s.different = false
			ordinary = append(ordinary, s)
		}
	}
	// The most different server is set apart first, since it shifts the mean: one fast server
	// among three would otherwise make the other two appear slow.
	for len(ordinary) > 0 {
		mean = meanInterval(ordinary)
		farthest := 0
		for i, s := range ordinary {
			s.different = false
			if difference(s.interval, mean) > difference(ordinary[farthest].interval, mean) {
				farthest = i
			}
		}
		if difference(ordinary[farthest].interval, mean) <= distinguishAbove {
			break
		}
		ordinary[farthest].different = true
		ordinary[farthest] = ordinary[len(ordinary)-1]
		ordinary = ordinary[:len(ordinary)-1]
	}
	return mean
}

// meanInterval returns the mean interval of servers; 0 if there are none.
func meanInterval(servers []*serverStats) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += s.interval
	}
	return sum / max(float64(len(servers)), 1)
}

// difference returns the difference of an interval from the mean, as a fraction of the mean.
func difference(interval, mean float64) float64 { return math.Abs(interval-mean) / mean }
