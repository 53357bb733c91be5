package peers

import (
	"math"
	"time"

	"github.com/applepier/applepier/policy"
)

// serverLimit is the encoded form of policy.LimitReport: a rate limit that a backend server has
// stated, and the number of requests that the sender recently sent to it.
type serverLimit struct {
	_ struct{} `cbor:",toarray"`
	// Instance is the key of the server's instance.
	Instance uint32
	// Rate is in requests per second. Lifted means that the limit no longer applies. Age is the
	// age of the evidence in milliseconds; 0 if the sender has it from other gateways.
	Rate   float64
	Lifted bool
	Age    uint32
	// SentRequests is the number of requests that the sender has recently sent, with exponential
	// decay.
	SentRequests float32
}

// packLimits encodes server limits.
func packLimits(now time.Time, limits []policy.LimitReport) []serverLimit {
	packed := make([]serverLimit, len(limits))
	for i, l := range limits {
		packed[i] = serverLimit{Instance: uint32(l.Instance), Rate: l.Rate, Lifted: l.Lifted, SentRequests: float32(l.Sent)}
		if !l.At.IsZero() {
			packed[i].Age = ageMillis(now, l.At)
		}
	}
	return packed
}

// unpackLimits decodes server limits. It drops entries with an invalid rate, and those that the sender
// has only from other gateways.
func unpackLimits(now time.Time, packed []serverLimit) []policy.LimitReport {
	var limits []policy.LimitReport
	for _, l := range packed {
		if l.Age == 0 || !(l.Rate >= 0) || math.IsInf(l.Rate, 0) {
			continue
		}
		limits = append(limits, policy.LimitReport{
			Instance:      policy.Key(l.Instance),
			LimitEvidence: policy.LimitEvidence{Rate: l.Rate, Lifted: l.Lifted, At: timeAtAge(now, l.Age)},
		})
	}
	return limits
}
