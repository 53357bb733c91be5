package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// logNormalLength draws a log-normally distributed length with a mean, and sigma as the
// standard deviation of its logarithm.
func logNormalLength(random *rand.Rand, mean, sigma float64) int {
	return 1 + int(mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// servedRequest is a request's prompt length and whether it was served.
type servedRequest struct {
	tokens int
	served bool
}

// servedShareBySize returns the served fraction of the longest tenth of requests, and of
// all requests.
func servedShareBySize(all []servedRequest) (longest, overall float64) {
	slices.SortStableFunc(all, func(a, b servedRequest) int { return a.tokens - b.tokens })
	share := func(requests []servedRequest) float64 {
		served := 0
		for _, r := range requests {
			if r.served {
				served++
			}
		}
		return float64(served) / float64(max(len(requests), 1))
	}
	return share(all[len(all)-len(all)/10:]), share(all)
}
