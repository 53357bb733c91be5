package router

import (
	"slices"
	"time"
)

const (
	// maxIntervals is the number of intervals that are kept of a stream: the newest ones, which tell
	// most about the server's present speed.
	maxIntervals = 64
	// minIntervals is the number of intervals below which a stream gives no sample.
	minIntervals = 8
	// quintile is the number of parts into which the sorted intervals are divided; the end of the
	// first part is the sample. Prefill of other requests delays single events of a stream, so the
	// lower quintile is the time of decoding steps without prefill.
	quintile = 5
)

// eventIntervals holds the newest intervals between the events of one stream.
type eventIntervals struct {
	intervals []time.Duration
	// next is the index that is overwritten next once intervals holds maxIntervals.
	next int
}

// add adds an interval.
func (e *eventIntervals) add(interval time.Duration) {
	if len(e.intervals) < maxIntervals {
		e.intervals = append(e.intervals, interval)
		return
	}
	e.intervals[e.next] = interval
	e.next = (e.next + 1) % maxIntervals
}

// lowerQuintile returns the lower quintile of the intervals; 0 if there are too few.
func (e *eventIntervals) lowerQuintile() time.Duration {
	if len(e.intervals) < minIntervals {
		return 0
	}
	sorted := slices.Sorted(slices.Values(e.intervals))
	return sorted[(len(sorted)-1)/quintile]
}
