package peers

import (
	"math"

	"github.com/applepier/applepier/policy"
)

// leastOffered is the count below which a level of urgency isn't told: it has
// faded away.
const leastOffered = 0.05

// shortage is what a gateway was short of lately at one service's servers.
type shortage struct {
	_ struct{} `cbor:",toarray"`
	// Service is the hash of the service's name.
	Service uint32
	Levels  []lack
}

// lack is what was offered, and refused for want of a slot, at one level of
// urgency, both fading with time.
type lack struct {
	_       struct{} `cbor:",toarray"`
	Urgency uint8
	Offered float32
	Lacked  float32
}

// shortageOf packs counts.
func shortageOf(service string, counts *policy.Shortage) shortage {
	out := shortage{Service: hash(service)}
	for urgency, level := range counts {
		if level.Offered >= leastOffered {
			out.Levels = append(out.Levels, lack{Urgency: uint8(urgency), Offered: float32(level.Offered), Lacked: float32(level.Lacked)})
		}
	}
	return out
}

// counts unpacks a shortage. A level that isn't known here counts as the least
// urgent.
func (s *shortage) counts() policy.Shortage {
	var c policy.Shortage
	for _, l := range s.Levels {
		if !counted(l.Offered) || !counted(l.Lacked) {
			continue
		}
		level := &c[min(int(l.Urgency), len(c)-1)]
		level.Offered += float64(l.Offered)
		level.Lacked += float64(l.Lacked)
	}
	return c
}

// counted reports whether a number may be one of requests: the sums of all gateways would
// not come back from one that isn't.
func counted(n float32) bool { return n >= 0 && n <= math.MaxInt32 }
