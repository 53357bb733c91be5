package policy

import "time"

// ZoneOffers is what the gateways of an availability zone offer to a service.
type ZoneOffers struct {
	Counts OfferCounts
	// Live is whether datagrams of a gateway of the zone arrive.
	Live bool
	// KnownAt is when the oldest of the counts arrived or, if none are known, when the last datagram of
	// a gateway of the zone did.
	KnownAt time.Time
}
