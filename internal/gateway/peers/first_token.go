package peers

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// first is how long a service's server took to a first token, with so many
// tokens to be read before it.
type first struct {
	_            struct{} `cbor:",toarray"`
	Service      uint32
	Server       uint32
	Urgency      uint8
	Ahead        uint32
	Milliseconds uint32
}

// firstsOf packs first tokens.
func firstsOf(all []policy.FirstToken) []first {
	packed := make([]first, len(all))
	for i, f := range all {
		packed[i] = first{
			Service: uint32(f.Service), Server: uint32(f.Server), Urgency: uint8(f.Urgency),
			Ahead: uint32(max(f.Ahead, 0)), Milliseconds: uint32(max(f.Took.Milliseconds(), 0)),
		}
	}
	return packed
}

// unpackFirsts unpacks what a datagram tells. A level that isn't known here
// counts as the least urgent.
func unpackFirsts(packed []first) []policy.FirstToken {
	all := make([]policy.FirstToken, len(packed))
	for i, f := range packed {
		all[i] = policy.FirstToken{
			Service: policy.Key(f.Service), Server: policy.Key(f.Server), Urgency: min(int(f.Urgency), policy.UrgencyLevels-1),
			Ahead: float64(f.Ahead), Took: time.Duration(f.Milliseconds) * time.Millisecond,
		}
	}
	return all
}
