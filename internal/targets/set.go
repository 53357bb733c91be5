// Package targets defines the operators' configuration: request classes with
// their latency targets and priority tiers, and customers. A Set is one
// immutable version of the whole configuration and is replaced as a unit. A
// Cache holds the newest Set that a process has received and never reverts to
// an older one. Start reading at Set.
package targets

import "slices"

// Customer is a company's account, on whose behalf requests are sent.
type Customer struct {
	// Name identifies the customer.
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the customer's API key, in hexadecimal.
	// The key itself is never stored.
	KeyHash string `json:"key_hash"`
}

// Set is one version of all classes and customers. It is immutable once published.
type Set struct {
	// Version increases by one with each accepted change; zero means that
	// there was no change yet.
	Version uint64 `json:"version"`
	// Classes are sorted by name.
	Classes []Class `json:"classes"`
	// Customers are sorted by name.
	Customers []Customer `json:"customers"`
}

// Class returns the class with the given name, retired ones included, and false
// if there is none.
func (s *Set) Class(name string) (Class, bool) {
	for _, c := range s.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// ClassNames returns the sorted names of the classes that are not retired.
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
