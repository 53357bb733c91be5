// Package routes is the desired state that a gateway serves by: routes,
// services, customers and limits under one version. A Set is immutable; a
// Holder keeps the newest one and how old the proof is that it is the newest.
// Start reading at Set.
package routes

import (
	"strings"
	"time"
)

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name string
	// MaxConns is how many connections one of its servers accepts from all
	// callers together; 0 when that isn't known.
	MaxConns int
	// FetchRate is at how many tokens a millisecond one of its servers fetches
	// what another has read; 0 where they can't or that isn't known.
	FetchRate float64
}

// Customer is who holds keys.
type Customer struct {
	Name string
	// Tier goes before the route's tier, which decides among equals; nil where
	// only the route's counts.
	Tier *int
	Keys []string
}

// Limits bound what a caller may send, and for how long it may ask nothing; zero
// is no limit. For how long it may take to send headers is the gateway's own
// bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTime    time.Duration
}

// Set is one version of the desired state. It isn't changed after NewSet.
type Set struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	// Document is the version as the platform wrote it, for other gateways;
	// set before the Set is handed on.
	Document  []byte
	hosts     map[string]map[string]*Route
	customers map[string]*Customer
	// keyed says that requests of routes that aren't public need a key.
	keyed bool
	ranks []rank
}

// NewSet returns a Set with its indexes built. Customers is nil where no keys
// are asked for.
func NewSet(version uint64, limits Limits, all []*Route, services []*Service, customers []*Customer) *Set {
	s := &Set{
		Version:   version,
		Limits:    limits,
		Services:  make(map[string]*Service, len(services)),
		hosts:     map[string]map[string]*Route{},
		customers: map[string]*Customer{},
		keyed:     customers != nil,
		ranks:     ranksOf(all, customers),
	}
	for _, service := range services {
		s.Services[service.Name] = service
	}
	for _, r := range all {
		host := strings.ToLower(r.Host)
		if s.hosts[host] == nil {
			s.hosts[host] = map[string]*Route{}
		}
		s.hosts[host][r.Prefix] = r
	}
	for _, c := range customers {
		for _, key := range c.Keys {
			s.customers[key] = c
		}
	}
	return s
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil. Prefixes end with a slash, so only as many look-ups are made
// as the path has slashes.
func (s *Set) Match(host, path string) *Route {
	prefixes := s.hosts[strings.ToLower(withoutPort(host))]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of a route need a key.
func (s *Set) NeedsKey(r *Route) bool { return s.keyed && !r.Public }

// Customer returns who holds a key.
func (s *Set) Customer(key string) (*Customer, bool) {
	c, ok := s.customers[key]
	return c, ok
}

// Routes counts the routes.
func (s *Set) Routes() int {
	n := 0
	for _, prefixes := range s.hosts {
		n += len(prefixes)
	}
	return n
}

func withoutPort(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		return host[:at]
	}
	return host
}
