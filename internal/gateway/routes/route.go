package routes

import "time"

// Kind says whether a route's requests may run more than once, and whether their responses are
// streams.
type Kind int

// Kinds of requests.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream requests get responses of server-sent events that have increasing IDs. They run
	// at most once, unless the route is Resumable.
	KindStream
)

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Route is one request class: which requests it matches, its latency targets and the services that
// run it.
type Route struct {
	Name string
	// Host and Prefix select the requests. Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another backend server.
	Resumable bool
	// Timeout bounds the time from a request's arrival to the end of its response; 0 if the route
	// sets none.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the complete response or, for streams, to the
	// first event; 0 means none.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between events with which a stream is still on time; 0 means
	// no target.
	PauseTarget time.Duration
	// Tier is the route's priority; 0 is the most urgent.
	Tier int
	// MaxAttempts is the maximum number of backend servers to which one request is sent. Values
	// below 1 mean 1.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Shares lists the services that run the requests. It has at least one element.
	Shares []Share
}

// Idempotent reports whether a request may be sent again after it may have run.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// PickService returns the service for a request. The hash must be evenly distributed, so that each
// service gets requests in proportion to its weight. A negative weight counts as 0; if no weight is
// positive, the first service gets all requests.
func (r *Route) PickService(hash uint64) string {
	totalWeight := 0
	for _, s := range r.Shares {
		totalWeight += max(s.Weight, 0)
	}
	if totalWeight == 0 {
		return r.Shares[0].Service
	}
	offset := int(hash % uint64(totalWeight))
	for _, s := range r.Shares {
		if offset < max(s.Weight, 0) {
			return s.Service
		}
		offset -= max(s.Weight, 0)
	}
	return r.Shares[0].Service
}
