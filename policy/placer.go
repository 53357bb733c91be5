package policy

import (
	"math/rand/v2"
	"time"
)

// sampleSize is how many candidates are drawn at random for each ticket; the one
// with the lowest cost is used. All entries see the same stale load reports: if
// each chose the cheapest of all engines, they would overload the same one until
// the next report. Two choices suffice to balance load (Mitzenmacher, 2001); the
// third compensates for engines of other zones in the sample.
const sampleSize = 3

// Placer selects, for one entry, the engines at which the tickets of a request
// are placed. Filters exclude engines that can't be used, scorers add up the
// costs of the others, and the cheapest of a few drawn at random are picked. The
// engine that has the beginning of the prompt in its cache is preferred while it
// has room.
//
// The design handles load that is unevenly distributed and reported late, and
// prefixes that attract most of the load. A ticket isn't a binding choice,
// because the first engine with a free slot runs the request; picks need to be
// good only on average. A Placer keeps no state between requests, apart from its
// random source, and isn't safe for concurrent use.
type Placer struct {
	random   *rand.Rand
	filters  []filter
	scorers  []scorer
	affinity affinity
}

// NewPlacer returns a Placer that excludes the engines ejected by ejector. The
// caller passes in the random source, so that runs are reproducible.
func NewPlacer(random *rand.Rand, ejector *Ejector) *Placer {
	return &Placer{
		random:  random,
		filters: []filter{usableFilter{}, ejectionFilter{ejector: ejector}},
		scorers: []scorer{loadScorer{}, zoneScorer{}},
	}
}

// Pick returns the names of up to n candidates; fewer if fewer are usable.
func (p *Placer) Pick(now time.Time, request PlacementRequest, candidates []Candidate, n int) []string {
	eligible := make([]int, len(candidates))
	for i := range eligible {
		eligible[i] = i
	}
	for _, f := range p.filters {
		eligible = f.keep(now, request, candidates, eligible)
	}
	mean := meanLoad(candidates, eligible)
	names := make([]string, 0, n)
	if at, ok := p.affinity.choose(now, request, candidates, eligible, mean); ok && n > 0 {
		names = append(names, candidates[eligible[at]].Name)
		eligible = swapRemove(eligible, at)
	}
	for len(names) < n && len(eligible) > 0 {
		at := p.cheapestOfSample(now, request, candidates, eligible, mean)
		names = append(names, candidates[eligible[at]].Name)
		eligible = swapRemove(eligible, at)
	}
	return names
}

// cheapestOfSample draws up to sampleSize elements of eligible and returns the
// index in eligible of the cheapest. It reorders eligible.
func (p *Placer) cheapestOfSample(now time.Time, request PlacementRequest, candidates []Candidate, eligible []int, mean float64) int {
	best, lowestCost := 0, 0.0
	for draw := range min(sampleSize, len(eligible)) {
		// Drawn candidates move to the front, so that none is drawn twice.
		at := draw + p.random.IntN(len(eligible)-draw)
		eligible[draw], eligible[at] = eligible[at], eligible[draw]
		cost := p.cost(now, request, &candidates[eligible[draw]], mean)
		if draw == 0 || cost < lowestCost {
			best, lowestCost = draw, cost
		}
	}
	return best
}

// cost returns the sum of the costs that all scorers assign to a candidate.
func (p *Placer) cost(now time.Time, request PlacementRequest, c *Candidate, mean float64) float64 {
	sum := 0.0
	for _, s := range p.scorers {
		sum += s.cost(now, request, c, mean)
	}
	return sum
}

// meanLoad returns the mean load of the eligible candidates that have reported at
// least once; zero if none has.
func meanLoad(candidates []Candidate, eligible []int) float64 {
	sum, n := 0.0, 0
	for _, i := range eligible {
		if !candidates[i].ReportedAt.IsZero() {
			sum += candidates[i].load()
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// swapRemove removes the element at an index without keeping the order.
func swapRemove(indexes []int, at int) []int {
	last := len(indexes) - 1
	indexes[at] = indexes[last]
	return indexes[:last]
}
