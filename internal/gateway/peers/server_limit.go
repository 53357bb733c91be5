package peers

import (
	"math"
	"time"

	"github.com/applepier/applepier/policy"
)

// limit is what a gateway knows of a backend server that has named a limit.
type limit struct {
	_ struct{} `cbor:",toarray"`
	// Server is the server's start.
	Server uint32
	// Rate is in requests a second; Lifted says that there is no limit any more, and Age
	// how old that is, in milliseconds; 0 where the gateway has it from others.
	Rate   float64
	Lifted bool
	Age    uint32
	// Sent is how many requests the gateway sent lately.
	Sent float32
}

// limitsOf packs limits.
func limitsOf(now time.Time, all []policy.ServerLimit) []limit {
	packed := make([]limit, len(all))
	for i, l := range all {
		packed[i] = limit{Server: uint32(l.Server), Rate: l.Rate, Lifted: l.Lifted, Sent: float32(l.Sent)}
		if !l.At.IsZero() {
			packed[i].Age = ageOf(now, l.At)
		}
	}
	return packed
}

// unpackLimits unpacks what a datagram tells; rates that are none are left out.
func unpackLimits(now time.Time, packed []limit) []policy.ServerLimit {
	var all []policy.ServerLimit
	for _, l := range packed {
		if l.Age == 0 || !(l.Rate >= 0) || math.IsInf(l.Rate, 0) {
			continue
		}
		all = append(all, policy.ServerLimit{
			Server:   policy.Key(l.Server),
			Evidence: policy.Evidence{Rate: l.Rate, Lifted: l.Lifted, At: before(now, l.Age)},
		})
	}
	return all
}
