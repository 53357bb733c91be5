package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Placer decides for one entry at which engines a request's tickets are
// placed. It keeps no state of its own but the Ejector; not safe for
// concurrent use.
type Placer struct {
	random  *rand.Rand
	ejector *Ejector
}

// NewPlacer returns a Placer that leaves out what ejector ejected. The caller
// hands in the randomness, so that a run can be repeated.
func NewPlacer(random *rand.Rand, ejector *Ejector) *Placer {
	return &Placer{random: random, ejector: ejector}
}

// Pick names up to n of the candidates.
func (p *Placer) Pick(now time.Time, want Placement, candidates []Candidate, n int) []string {
	var names []string
	for _, i := range p.random.Perm(len(candidates)) {
		c := candidates[i]
		if len(names) < n && !c.Leaving && !c.Down && !slices.Contains(want.Exclude, c.Name) {
			names = append(names, c.Name)
		}
	}
	return names
}
