package serverspeed

import (
	"slices"
	"time"
)

const (
	// periodLength is the length of the periods into which samples are grouped. The estimate
	// is the median over periods and not over samples, so that a burst of samples in a slow
	// phase counts no more than the time that it lasts.
	periodLength = 250 * time.Millisecond
	// maxPeriods is the number of periods with samples that count: 2.5 s if there are always
	// some. Half of that, less than which leaves the median unchanged, is longer than a slow
	// phase of half a second and shorter than a slowdown of five seconds.
	maxPeriods = 10
	// minPeriods is the number of periods with samples below which a server's speed is unknown.
	minPeriods = 3
	// minDifferent is the number of successive estimates in which a server differs before it is
	// distinguished: if all servers become slow together, the medians follow some periods apart.
	// With 3, some of 58 servers were distinguished for half a second in half of the runs.
	minDifferent = 4
	// maxPeriodAge is the number of periods after which samples no longer count: 10 s. A
	// server that is used little has too few samples in a shorter time.
	maxPeriodAge = int64(10 * time.Second / periodLength)
)

// period holds the samples of one period.
type period struct {
	// number counts periods from the first call of the Estimator.
	number int64
	// sum is the sum of the intervals, in seconds, and samples their number.
	sum     float64
	samples int
}

// serverStats is what is known of one server.
type serverStats struct {
	// periods is a ring of the newest periods with samples; newest is the index of the newest
	// one and used the number of those in use.
	periods      [maxPeriods]period
	newest, used int
	// known is whether the server's speed is known, and interval the time between its events
	// in seconds.
	known    bool
	interval float64
	// different is whether the interval differs from that of most servers, and differentFor the
	// number of successive estimates in which it did, up to minDifferent.
	different    bool
	differentFor int
	slowdown     float64
}

// add adds a sample. A sample of an earlier period than the newest one counts as of that one.
func (s *serverStats) add(number int64, interval time.Duration) {
	if s.used == 0 || number > s.periods[s.newest].number {
		s.newest = (s.newest + 1) % maxPeriods
		s.used = min(s.used+1, maxPeriods)
		s.periods[s.newest] = period{number: number}
	}
	p := &s.periods[s.newest]
	p.sum += interval.Seconds()
	p.samples++
}

// estimate sets interval to the median over the periods with samples, if there are enough.
func (s *serverStats) estimate(current int64) {
	var means [maxPeriods]float64
	n := 0
	for i := range s.periods {
		if p := &s.periods[i]; p.samples > 0 && current-p.number < maxPeriodAge {
			means[n] = p.sum / float64(p.samples)
			n++
		}
	}
	s.known = n >= minPeriods
	if !s.known {
		s.different = false
		return
	}
	slices.Sort(means[:n])
	// The lower median: with slow phases in half of the periods the server counts as fast.
	s.interval = means[(n-1)/2]
}

// isNew reports whether too few periods are known to distinguish a lasting difference from a
// passing one.
func (s *serverStats) isNew() bool { return s.used < minPeriods+minDifferent }

// distinguished reports whether the server differs from most servers for long enough.
func (s *serverStats) distinguished() bool { return s.differentFor == minDifferent }

// expired reports whether all samples are too old.
func (s *serverStats) expired(current int64) bool {
	return current-s.periods[s.newest].number >= maxPeriodAge
}
