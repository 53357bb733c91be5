package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// logNormal draws a length of a mean, with a standard deviation of its logarithm.
func logNormal(random *rand.Rand, mean, spread float64) int {
	return 1 + int(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2))
}

// sized is a request's prompt length and whether it was served.
type sized struct {
	tokens int
	served bool
}

// servedBySize is the share served of the longest tenth of requests, and of all.
func servedBySize(all []sized) (longest, whole float64) {
	slices.SortStableFunc(all, func(a, b sized) int { return a.tokens - b.tokens })
	share := func(part []sized) float64 {
		served := 0
		for _, r := range part {
			if r.served {
				served++
			}
		}
		return float64(served) / float64(max(len(part), 1))
	}
	return share(all[len(all)-len(all)/10:]), share(all)
}
