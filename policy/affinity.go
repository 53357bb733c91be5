package policy

import "time"

const (
	// affinityLoadFactor bounds the load of a prefix's engine to a quarter above the mean
	// load, as in consistent hashing with bounded loads (Mirrokni et al., 2018). Without
	// a bound a prefix that causes most of the load would send all of it to one engine.
	affinityLoadFactor = 1.25
	// affinityMinLoad is the load per slot up to which an engine has capacity whatever
	// the mean load is.
	affinityMinLoad = 0.75
)

// affinity assigns a prompt's prefix to an engine by rendezvous hashing, so that the
// engine's prefix cache is reused. A change of the set of engines moves only the
// prefixes of the engines that were added or removed.
type affinity struct{}

// choose returns the position in eligible of the prefix's engine, and whether that engine
// has capacity.
func (affinity) choose(now time.Time, request PlacementRequest, candidates []Candidate, eligible []int, mean float64) (int, bool) {
	if request.Prefix == 0 || len(eligible) == 0 {
		return 0, false
	}
	best, highest := 0, uint64(0)
	for at, i := range eligible {
		if h := mix(request.Prefix ^ hashName(candidates[i].Name)); at == 0 || h > highest {
			best, highest = at, h
		}
	}
	load := candidates[eligible[best]].expectedLoad(now, mean)
	return best, load <= max(affinityMinLoad, affinityLoadFactor*mean)
}

// hashName returns the 64-bit FNV-1a hash of a name.
func hashName(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * prime
	}
	return h
}

// mix distributes a hash's entropy over all bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
