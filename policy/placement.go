package policy

import "slices"

// Placement is what a request asks of a Placer.
type Placement struct {
	Tier Tier
	// Zone is the entry's availability zone.
	Zone string
	// Prefix is a hash of the prompt's beginning; zero when there is none.
	Prefix uint64
	// Exclude names the engines that were tried before.
	Exclude []string
}

// excludes reports whether a candidate may not be used at all.
func (p Placement) excludes(c Candidate) bool {
	return c.Leaving || c.Down || slices.Contains(p.Exclude, c.Name)
}
