package policy

import "slices"

// PlacementRequest describes the request for which a Placer selects engines.
type PlacementRequest struct {
	Tier Tier
	// Zone is the availability zone of the entry.
	Zone string
	// Prefix is a hash of the beginning of the prompt; zero means none.
	Prefix uint64
	// Exclude lists the engines that were already tried.
	Exclude []string
	// Bound is set if the request continues a stream. Only engines of the software
	// version Version can: events of two versions don't fit together.
	Bound   bool
	Version string
}

// excludes reports whether the candidate can't be used: it is draining, unreachable,
// already tried or of another version than the stream.
func (p PlacementRequest) excludes(c Candidate) bool {
	return c.Draining || c.Down || p.Bound && c.Version != p.Version || slices.Contains(p.Exclude, c.Name)
}
