// Package zonerouting decides, for one service, which share of each availability zone's requests is
// sent to another zone, and why. The shares equalize the marginal time of the zones' callers, less
// what a crossing costs. Start reading at Planner.Plan; docs/design/zone-routing.md has the ways that
// were weighed.
package zonerouting

import "time"

// Zone is the state of one availability zone.
type Zone struct {
	Name string
	// Capacity is the number of tokens per second that its usable servers prefill.
	Capacity float64
	// Waiting is the number of tokens that wait for prefill at its usable servers.
	Waiting float64
	// Demand is the number of tokens per second that its gateways offer, wherever they are served.
	Demand float64
	// RequestTime is how long one of its servers takes to prefill a request of mean length; 0 if
	// unknown.
	RequestTime time.Duration
	// KnownAt is the time of the oldest of these figures.
	KnownAt time.Time
}

// Link is what is known of the way from one zone to another.
type Link struct {
	RoundTrip time.Duration
	// Usable is whether requests can be sent.
	Usable bool
	// RequestBytes is the mean number of bytes of a request and its response.
	RequestBytes float64
}

// Price is how many milliseconds of a caller's wait one megabyte between zones is worth.
type Price float64

const (
	// bytesPerMegabyte is the unit of Price.
	bytesPerMegabyte = 1e6
	// maxCrossingMillis is a cost at which nothing is sent to another zone; it bounds the conversion
	// to a time.Duration.
	maxCrossingMillis = 3_600_000.0
)

// CrossingCost returns how much sooner a request must be served in another zone to be sent there.
func (p Price) CrossingCost(l Link) time.Duration {
	millis := min(float64(p)*l.RequestBytes/bytesPerMegabyte, maxCrossingMillis)
	return l.RoundTrip + time.Duration(millis*float64(time.Millisecond))
}

// Reason is why a share is what it is.
type Reason string

// Reasons of shares.
const (
	// ReasonNone: sending requests to the other zone doesn't serve callers sooner.
	ReasonNone Reason = "none"
	// ReasonSooner: callers are served sooner there by more than the crossing costs.
	ReasonSooner Reason = "sooner"
	// ReasonNoCapacity: the zone has no usable server of its own.
	ReasonNoCapacity Reason = "no_capacity"
	// ReasonOldInformation: callers would be served sooner there, but what is known of the other zone
	// is old, and the share is reduced for that.
	ReasonOldInformation Reason = "old_information"
)

// Share is the part of a zone's requests that is sent to another zone.
type Share struct {
	// Fraction is of the zone's whole demand, from 0 to 1. Each gateway of the zone applies it to its
	// own requests at random, so that the shares of many gateways don't add up to more.
	Fraction float64
	Reason   Reason
}
