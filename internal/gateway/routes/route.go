package routes

import "time"

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of requests.
const (
	// KindUnsafe requests run once at most.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream requests are answered with events that have increasing ids;
	// they run once at most, unless the route is Resumable.
	KindStream
)

// Share is a service's share of a route's requests.
type Share struct {
	Service string
	// Weight is in relation to the other shares' weights.
	Weight int
}

// Route is one class of work: which requests it takes, what it promises them
// and which services may run them.
type Route struct {
	Name string
	// Host and Prefix choose the requests; Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the latency target: to the whole answer, or to the first event.
	Target time.Duration
	// Pause is the longest pause between events for which an answer is on time.
	Pause time.Duration
	// Tier is the priority; 0 is the most urgent.
	Tier int
	// Attempts is to how many backend servers one request may be sent.
	Attempts int
	// Public routes need no key.
	Public bool
	// Shares are the services that run the requests; at least one.
	Shares []Share
}

// Idempotent reports whether a request may be sent again after it may have run.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service picks the service of a request by a number that is drawn evenly, so
// that a share's weight is its part of all requests.
func (r *Route) Service(drawn uint64) string {
	sum := 0
	for _, s := range r.Shares {
		sum += max(s.Weight, 0)
	}
	if sum == 0 {
		return r.Shares[0].Service
	}
	at := int(drawn % uint64(sum))
	for _, s := range r.Shares {
		if at < max(s.Weight, 0) {
			return s.Service
		}
		at -= max(s.Weight, 0)
	}
	return r.Shares[0].Service
}
