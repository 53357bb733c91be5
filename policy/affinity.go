package policy

import "time"

const (
	// affinityLoadFactor is how far above the mean load the engine that a prefix
	// belongs to may be and still be used: a quarter, as in consistent
	// hashing with bounded loads (Mirrokni et al., 2018). Without a bound a
	// prefix that takes most of the load would take it all to one engine.
	affinityLoadFactor = 1.25
	// affinityMinLoad is a load below which an engine has room whatever the
	// mean is.
	affinityMinLoad = 0.75
)

// affinity finds the engine that a prompt's beginning belongs to, so that its
// cache is used again: the one with the highest hash of prefix and name. A
// change of the set of engines moves only the prefixes of those that changed.
type affinity struct{}

// choose is the place in kept of the prefix's engine, if it has room.
func (affinity) choose(now time.Time, want Placement, candidates []Candidate, kept []int, mean float64) (int, bool) {
	if want.Prefix == 0 || len(kept) == 0 {
		return 0, false
	}
	best, highest := 0, uint64(0)
	for at, i := range kept {
		if h := mix(want.Prefix ^ hashName(candidates[i].Name)); at == 0 || h > highest {
			best, highest = at, h
		}
	}
	load := candidates[kept[best]].expectedLoad(now, mean)
	return best, load <= max(affinityMinLoad, affinityLoadFactor*mean)
}

// hashName is FNV-1a.
func hashName(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * prime
	}
	return h
}

// mix spreads a hash over all bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
