package policy

import (
	"math/rand/v2"
	"time"
)

// sampleSize is how many candidates are drawn for each ticket; the cheapest
// gets it. All entries hear the same stale reports: if each took the cheapest
// of all, they would crowd on the same engine until the next report. Two
// choices are enough to even out load (Mitzenmacher, 2001); the third makes
// up for engines of other zones in the draw.
const sampleSize = 3

// Placer decides for one entry at which engines a request's tickets are
// placed: filters leave out what may not be used, scorers say what speaks
// against the rest, and the cheapest of a few drawn at random are picked. The
// engine that has the prompt's beginning in its cache comes first while it
// has room.
//
// It answers unequal load that is only known late, and prefixes that take
// most of the load. A ticket is no binding choice, the engine that has room
// first gets the work; so the picks need only be good on the whole. It keeps
// no state of its own; not safe for concurrent use.
type Placer struct {
	random   *rand.Rand
	filters  []filter
	scorers  []scorer
	affinity affinity
}

// NewPlacer returns a Placer that leaves out what ejector ejected. The caller
// hands in the randomness, so that a run can be repeated.
func NewPlacer(random *rand.Rand, ejector *Ejector) *Placer {
	return &Placer{
		random:  random,
		filters: []filter{usableFilter{}, ejectionFilter{ejector: ejector}},
		scorers: []scorer{loadScorer{}, zoneScorer{}},
	}
}

// Pick names up to n of the candidates, fewer when fewer may be used.
func (p *Placer) Pick(now time.Time, want Placement, candidates []Candidate, n int) []string {
	kept := make([]int, len(candidates))
	for i := range kept {
		kept[i] = i
	}
	for _, f := range p.filters {
		kept = f.keep(now, want, candidates, kept)
	}
	mean := meanLoad(candidates, kept)
	names := make([]string, 0, n)
	if at, ok := p.affinity.choose(now, want, candidates, kept, mean); ok && n > 0 {
		names = append(names, candidates[kept[at]].Name)
		kept = without(kept, at)
	}
	for len(names) < n && len(kept) > 0 {
		at := p.cheapest(now, want, candidates, kept, mean)
		names = append(names, candidates[kept[at]].Name)
		kept = without(kept, at)
	}
	return names
}

// cheapest draws a few of kept and returns the place of the cheapest there.
func (p *Placer) cheapest(now time.Time, want Placement, candidates []Candidate, kept []int, mean float64) int {
	best, least := 0, 0.0
	for draw := range min(sampleSize, len(kept)) {
		// A draw moves to the front, so that none is drawn twice.
		at := draw + p.random.IntN(len(kept)-draw)
		kept[draw], kept[at] = kept[at], kept[draw]
		cost := p.cost(now, want, &candidates[kept[draw]], mean)
		if draw == 0 || cost < least {
			best, least = draw, cost
		}
	}
	return best
}

func (p *Placer) cost(now time.Time, want Placement, c *Candidate, mean float64) float64 {
	sum := 0.0
	for _, s := range p.scorers {
		sum += s.cost(now, want, c, mean)
	}
	return sum
}

// meanLoad is the mean over the candidates that were ever heard of.
func meanLoad(candidates []Candidate, kept []int) float64 {
	sum, n := 0.0, 0
	for _, i := range kept {
		if !candidates[i].Seen.IsZero() {
			sum += candidates[i].load()
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// without removes the element at a place; the order is not kept.
func without(kept []int, at int) []int {
	last := len(kept) - 1
	kept[at] = kept[last]
	return kept[:last]
}
