package zonerouting

import (
	"cmp"
	"slices"
)

// Destination is a zone to which a part of another zone's requests is sent.
type Destination struct {
	Zone string
	Share
}

// Destinations returns the zones to which requests of a zone are sent, in the order of their names.
func Destinations(from string, shares map[[2]string]Share) []Destination {
	var destinations []Destination
	for pair, share := range shares {
		if pair[0] == from && share.Fraction > 0 {
			destinations = append(destinations, Destination{pair[1], share})
		}
	}
	slices.SortFunc(destinations, func(a, b Destination) int { return cmp.Compare(a.Zone, b.Zone) })
	return destinations
}

// Draw returns the zone to which a request of the zone from is assigned. random is a random number
// from 0 to 1, excluding 1.
func Draw(random float64, from string, destinations []Destination) string {
	for _, d := range destinations {
		if random -= d.Fraction; random < 0 {
			return d.Zone
		}
	}
	return from
}
