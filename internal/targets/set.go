// Package targets holds what operators state: classes of work with their
// latency targets and tiers, and customers. A Set is one immutable version of
// all of it and is swapped whole; a Holder keeps the newest Set a process has
// seen and never goes back to an older one. Start reading at Set.
package targets

import "slices"

// Customer is a firm's account that sends requests.
type Customer struct {
	// Name identifies the customer.
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the customer's API key, in hexadecimal.
	// The key itself is never stored.
	KeyHash string `json:"key_hash"`
}

// Set is one version of all targets. It is immutable once published.
type Set struct {
	// Version grows by one with each accepted change; zero means none yet.
	Version uint64 `json:"version"`
	// Classes are sorted by name.
	Classes []Class `json:"classes"`
	// Customers are sorted by name.
	Customers []Customer `json:"customers"`
}

// Class finds a class by name, retired ones included.
func (s *Set) Class(name string) (Class, bool) {
	for _, c := range s.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// ClassNames lists the classes that take requests, in order of name.
func (s *Set) ClassNames() []string {
	names := make([]string, 0, len(s.Classes))
	for _, c := range s.Classes {
		if !c.Retired {
			names = append(names, c.Name)
		}
	}
	slices.Sort(names)
	return names
}
