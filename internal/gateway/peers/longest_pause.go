package peers

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// longestPause is the longest pause between the events of a stream that a
// backend server has ended.
type longestPause struct {
	_            struct{} `cbor:",toarray"`
	Service      uint32
	Server       uint32
	Urgency      uint8
	Milliseconds uint32
}

// pausesOf packs pauses.
func pausesOf(all []policy.Pause) []longestPause {
	packed := make([]longestPause, len(all))
	for i, p := range all {
		packed[i] = longestPause{
			Service: uint32(p.Service), Server: uint32(p.Server), Urgency: uint8(p.Urgency),
			Milliseconds: uint32(max(p.Longest.Milliseconds(), 0)),
		}
	}
	return packed
}

// unpackPauses unpacks what a datagram tells. A level that isn't known here
// counts as the least urgent.
func unpackPauses(packed []longestPause) []policy.Pause {
	all := make([]policy.Pause, len(packed))
	for i, p := range packed {
		all[i] = policy.Pause{
			Service: policy.Key(p.Service), Server: policy.Key(p.Server),
			Urgency: min(int(p.Urgency), policy.UrgencyLevels-1),
			Longest: time.Duration(p.Milliseconds) * time.Millisecond,
		}
	}
	return all
}
