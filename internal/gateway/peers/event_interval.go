package peers

import (
	"math"
	"time"

	"github.com/applepier/applepier/policy"
)

// eventInterval is the encoded form of policy.EventInterval: the time between two events of streams at a
// backend server.
type eventInterval struct {
	_              struct{} `cbor:",toarray"`
	Service        uint32
	Server         uint32
	IntervalMicros uint32
}

// packEventIntervals encodes event intervals, at most policy.MaxEventIntervals.
func packEventIntervals(intervals []policy.EventInterval) []eventInterval {
	intervals = intervals[:min(len(intervals), policy.MaxEventIntervals)]
	packed := make([]eventInterval, len(intervals))
	for i, e := range intervals {
		packed[i] = eventInterval{
			Service: uint32(e.Service), Server: uint32(e.Server),
			IntervalMicros: uint32(min(max(e.Interval.Microseconds(), 0), math.MaxUint32)),
		}
	}
	return packed
}

// unpackEventIntervals decodes event intervals, at most policy.MaxEventIntervals.
func unpackEventIntervals(packed []eventInterval) []policy.EventInterval {
	packed = packed[:min(len(packed), policy.MaxEventIntervals)]
	intervals := make([]policy.EventInterval, len(packed))
	for i, e := range packed {
		intervals[i] = policy.EventInterval{
			Service: policy.Key(e.Service), Server: policy.Key(e.Server),
			Interval: time.Duration(e.IntervalMicros) * time.Microsecond,
		}
	}
	return intervals
}
