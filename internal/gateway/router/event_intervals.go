package router

import (
	"slices"
	"time"
)

const (
	// maxIntervals is the number of intervals of a sample: a long stream gives several, since the speeds
	// of servers must be known within the first seconds of a burst.
	maxIntervals = 16
	// minIntervals is the number of intervals below which a stream gives no sample.
	minIntervals = 8
	// quintile is the number of parts into which the sorted intervals are divided; the end of the
	// first part is the sample. Prefill of other requests delays single events of a stream, so the
	// lower quintile is the time of decoding steps without prefill.
	quintile = 5
)

// eventIntervals holds the intervals between the events of one stream since the last sample.
type eventIntervals struct {
	intervals []time.Duration
}

// add adds an interval.
func (e *eventIntervals) add(interval time.Duration) { e.intervals = append(e.intervals, interval) }

// complete reports whether there are enough intervals for a sample of a stream that continues.
func (e *eventIntervals) complete() bool { return len(e.intervals) >= maxIntervals }

// takeSample returns the lower quintile of the intervals and discards them; 0 if there are too few.
func (e *eventIntervals) takeSample() time.Duration {
	sample := e.lowerQuintile()
	e.intervals = e.intervals[:0]
	return sample
}

// lowerQuintile returns the lower quintile of the intervals; 0 if there are too few.
func (e *eventIntervals) lowerQuintile() time.Duration {
	if len(e.intervals) < minIntervals {
		return 0
	}
	sorted := slices.Sorted(slices.Values(e.intervals))
	return sorted[(len(sorted)-1)/quintile]
}
