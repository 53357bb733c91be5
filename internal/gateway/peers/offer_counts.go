package peers

import (
	"math"

	"github.com/applepier/applepier/policy"
)

// minOffered is the number of offered requests below which an urgency level is omitted, because the
// count has decayed to almost zero.
const minOffered = 0.05

// offerCounts is the encoded form of policy.OfferCounts for one service.
type offerCounts struct {
	_ struct{} `cbor:",toarray"`
	// Service is the hash of the service's name.
	Service uint32
	Levels  []levelOffers
}

// levelOffers counts the requests offered at one urgency level, and those of them that were refused
// for lack of a slot. Both counts decay exponentially.
type levelOffers struct {
	_       struct{} `cbor:",toarray"`
	Urgency uint8
	Offered float32
	NoSlot  float32
}

// packOfferCounts encodes the counts of offers for a service.
func packOfferCounts(service string, counts *policy.OfferCounts) offerCounts {
	packed := offerCounts{Service: hashName(service)}
	for urgency, level := range counts {
		if level.Offered >= minOffered {
			packed.Levels = append(packed.Levels, levelOffers{Urgency: uint8(urgency), Offered: float32(level.Offered), NoSlot: float32(level.NoSlot)})
		}
	}
	return packed
}

// unpack decodes the counts; invalid counts are ignored. An unknown urgency level is mapped to
// the least urgent one.
func (c *offerCounts) unpack() policy.OfferCounts {
	var sum policy.OfferCounts
	for _, packed := range c.Levels {
		if !validCount(packed.Offered) || !validCount(packed.NoSlot) {
			continue
		}
		level := &sum[min(int(packed.Urgency), len(sum)-1)]
		level.Offered += float64(packed.Offered)
		level.NoSlot += float64(packed.NoSlot)
	}
	return sum
}

// validCount reports whether n can be a number of requests. An invalid number, such as NaN,
// would corrupt the sums over all gateways for good.
func validCount(n float32) bool { return n >= 0 && n <= math.MaxInt32 }
