// Package routes models the desired state by which a gateway serves requests: routes, services,
// customers and limits under one version. A Snapshot is immutable. A Holder keeps the newest one and
// the time at which it was last confirmed to be the newest. Start reading at Snapshot.
package routes

import (
	"strings"
	"time"
)

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns is how many connections one of its servers accepts from all callers together; 0 if
	// unknown.
	MaxConns int
	// FetchRate is the rate, in tokens per millisecond, at which one of its servers fetches a cached
	// prompt prefix from another; 0 if the servers cannot or the rate is unknown.
	FetchRate float64
}

// Customer is an owner of API keys.
type Customer struct {
	Name string
	// Tier is the customer's priority among requests of routes with the same tier; 0 is the most
	// urgent. If it is nil, the route's tier is used instead.
	Tier *int
	Keys []string
}

// Access is who may send requests on routes that are not public. The zero value allows nobody.
type Access struct {
	// WithoutKeys is set if requests need no API key.
	WithoutKeys bool
	Customers   []*Customer
}

// Limits bounds what a caller may send, and how long its connection may stay idle. Zero means no
// limit. The time for sending headers is bounded by the gateway itself.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	IdleTimeout    time.Duration
}

// Snapshot is one version of the desired state. It is immutable after NewSnapshot, except that
// Document is set before it is shared.
type Snapshot struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	// Document is this version as the platform wrote it, for handing it to other gateways.
	Document []byte
	// routesByHost holds the routes by lower-case host and then by prefix.
	routesByHost   map[string]map[string]*Route
	customersByKey map[string]*Customer
	// keysRequired is set if requests of routes that are not public require an API key.
	keysRequired bool
	// longestStream is the result of LongestStream.
	longestStream time.Duration
	// ranks lists the ranks that requests can have, the most urgent first.
	ranks []rank
}

// NewSnapshot returns a Snapshot with its indexes built.
func NewSnapshot(version uint64, limits Limits, allRoutes []*Route, services []*Service, access Access) *Snapshot {
	s := &Snapshot{
		Version:        version,
		Limits:         limits,
		Services:       make(map[string]*Service, len(services)),
		routesByHost:   map[string]map[string]*Route{},
		customersByKey: map[string]*Customer{},
		keysRequired:   !access.WithoutKeys,
		ranks:          distinctRanks(allRoutes, access.Customers),
	}
	for _, service := range services {
		s.Services[service.Name] = service
	}
	for _, r := range allRoutes {
		host := strings.ToLower(r.Host)
		if s.routesByHost[host] == nil {
			s.routesByHost[host] = map[string]*Route{}
		}
		s.routesByHost[host][r.Prefix] = r
	}
	s.longestStream = longestStream(allRoutes)
	for _, c := range access.Customers {
		for _, key := range c.Keys {
			// A request without a key has the empty one.
			if key != "" {
				s.customersByKey[key] = c
			}
		}
	}
	return s
}

// Match returns the route of the host with the longest prefix of the path, or nil if there is none.
// Prefixes end with a slash, so it makes at most one look-up for each slash in the path.
func (s *Snapshot) Match(host, path string) *Route {
	routesByPrefix := s.routesByHost[strings.ToLower(hostWithoutPort(host))]
	if routesByPrefix == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routesByPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// longestStream returns the result of LongestStream.
func longestStream(allRoutes []*Route) time.Duration {
	longest := time.Duration(0)
	for _, r := range allRoutes {
		switch {
		case !r.Resumable:
		case r.Timeout == 0:
			return 0
		default:
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// LongestStream returns the longest timeout of the routes whose streams can be resumed; 0 if there is
// none, or one of them sets no timeout.
func (s *Snapshot) LongestStream() time.Duration { return s.longestStream }

// RequiresKey reports whether requests of a route require an API key.
func (s *Snapshot) RequiresKey(r *Route) bool { return s.keysRequired && !r.Public }

// CustomerByKey returns the customer that owns an API key.
func (s *Snapshot) CustomerByKey(key string) (*Customer, bool) {
	c, ok := s.customersByKey[key]
	return c, ok
}

// RouteCount returns the number of routes.
func (s *Snapshot) RouteCount() int {
	n := 0
	for _, routesByPrefix := range s.routesByHost {
		n += len(routesByPrefix)
	}
	return n
}

// hostWithoutPort returns the host of a Host header. An IPv6 address keeps its brackets.
func hostWithoutPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		return host[:colon]
	}
	return host
}
