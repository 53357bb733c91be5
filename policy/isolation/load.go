package isolation

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// Class describes the requests of one urgency level.
type Class struct {
	// PauseTarget is the upper limit of the interval between two events of a stream; 0 means
	// none.
	PauseTarget time.Duration
	// PrefillTokens is the mean number of tokens to prefill of one request; 0 if unknown.
	PrefillTokens float64
	// Rate is the number of requests per second that are offered at all gateways.
	Rate float64
	// StreamTime is the mean time from a stream's first event to its last. It should be that of
	// streams on reserved servers if there were any: elsewhere streams are stalled and last
	// longer, and more servers would be reserved than are needed.
	StreamTime time.Duration
}

// Server is a server of the service.
type Server struct {
	Key policy.Key
	// Slots is the number of requests that run concurrently; 0 if unknown.
	Slots int
	// Slowdown is the ratio of the server's time per event to the mean of the service.
	Slowdown float64
	// Usable servers accept requests.
	Usable bool
}

// Load is the input of a decision. Values that make no sense, such as NaN or negative numbers,
// count as unknown.
type Load struct {
	Classes [policy.UrgencyLevels]Class
	Servers []Server
	// PrefillRate is the number of tokens per millisecond that the average server prefills; 0
	// if unknown.
	PrefillRate float64
}
