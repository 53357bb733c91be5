package policy

import "time"

// filter is the first stage of placement.
type filter interface {
	// keep returns those of the eligible indices whose candidates may be used.
	keep(now time.Time, request PlacementRequest, candidates []Candidate, eligible []int) []int
}

// usableFilter removes engines that are draining, down or have been tried before.
type usableFilter struct{}

func (usableFilter) keep(now time.Time, request PlacementRequest, candidates []Candidate, eligible []int) []int {
	usable := eligible[:0]
	for _, i := range eligible {
		if !request.excludes(candidates[i]) {
			usable = append(usable, i)
		}
	}
	return usable
}

// panicThreshold is the fraction of ejected engines above which ejection is ignored: if
// more than half of the engines fail, the cause is more likely common to all of them or in
// the entry, and the remaining engines can't carry the load. It also applies to unresponsive
// servers.
const panicThreshold = 0.5

// ejectionFilter removes engines that the Ejector has ejected, unless more than
// panicThreshold of them are.
type ejectionFilter struct {
	ejector *Ejector
}

func (f ejectionFilter) keep(now time.Time, request PlacementRequest, candidates []Candidate, eligible []int) []int {
	if len(f.ejector.records) == 0 {
		return eligible
	}
	healthy := make([]int, 0, len(eligible))
	for _, i := range eligible {
		if !f.ejector.Ejected(now, candidates[i].Name) {
			healthy = append(healthy, i)
		}
	}
	if float64(len(healthy)) < panicThreshold*float64(len(eligible)) {
		return eligible
	}
	return healthy
}
