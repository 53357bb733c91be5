package peers

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// longestPause is the encoded form of policy.Pause: the longest pause between the events of a
// stream that a backend server has completed.
type longestPause struct {
	_             struct{} `cbor:",toarray"`
	Service       uint32
	Server        uint32
	Urgency       uint8
	LongestMillis uint32
}

// packPauses encodes pauses.
func packPauses(pauses []policy.Pause) []longestPause {
	packed := make([]longestPause, len(pauses))
	for i, p := range pauses {
		packed[i] = longestPause{
			Service: uint32(p.Service), Server: uint32(p.Server), Urgency: uint8(p.Urgency),
			LongestMillis: uint32(max(p.Longest.Milliseconds(), 0)),
		}
	}
	return packed
}

// unpackPauses decodes pauses. An unknown urgency level is mapped to the least urgent one.
func unpackPauses(packed []longestPause) []policy.Pause {
	pauses := make([]policy.Pause, len(packed))
	for i, p := range packed {
		pauses[i] = policy.Pause{
			Service: policy.Key(p.Service), Server: policy.Key(p.Server),
			Urgency: min(int(p.Urgency), policy.UrgencyLevels-1),
			Longest: time.Duration(p.LongestMillis) * time.Millisecond,
		}
	}
	return pauses
}
