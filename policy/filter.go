package policy

import "time"

// filter is the first stage of placement: which candidates may be used.
type filter interface {
	keep(now time.Time, want Placement, candidates []Candidate, kept []int) []int
}

// usableFilter leaves out engines that are leaving, down or tried before.
type usableFilter struct{}

func (usableFilter) keep(now time.Time, want Placement, candidates []Candidate, kept []int) []int {
	usable := kept[:0]
	for _, i := range kept {
		if !want.excludes(candidates[i]) {
			usable = append(usable, i)
		}
	}
	return usable
}

// panicThreshold is the share of ejected engines beyond which ejection is
// ignored: when half of them fail, the fault is more likely theirs all or in
// the entry, and the rest can't carry the load.
const panicThreshold = 0.5

// ejectionFilter leaves out what the Ejector ejected.
type ejectionFilter struct {
	ejector *Ejector
}

func (f ejectionFilter) keep(now time.Time, want Placement, candidates []Candidate, kept []int) []int {
	if len(f.ejector.records) == 0 {
		return kept
	}
	healthy := make([]int, 0, len(kept))
	for _, i := range kept {
		if !f.ejector.Ejected(now, candidates[i].Name) {
			healthy = append(healthy, i)
		}
	}
	if float64(len(healthy)) < panicThreshold*float64(len(kept)) {
		return kept
	}
	return healthy
}
