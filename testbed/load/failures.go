package load

import (
	"cmp"
	"slices"
)

// FailureCount is the number of a class's requests with the same failure detail.
type FailureCount struct {
	Class  string `json:"class"`
	Detail string `json:"detail"`
	Count  int    `json:"count"`
}

// countFailures counts broken and wrong responses by class and detail, the most
// frequent first.
func countFailures(scenario Scenario, records []requestRecord) []FailureCount {
	var counts []FailureCount
	for _, rec := range records {
		if rec.result.Detail == "" || rec.result.Outcome == OutcomeRefused || rec.result.Outcome == OutcomeUnknown {
			continue
		}
		class := scenario.Mix.Classes[rec.arrival.class].Name
		index := slices.IndexFunc(counts, func(c FailureCount) bool { return c.Class == class && c.Detail == rec.result.Detail })
		if index < 0 {
			index = len(counts)
			counts = append(counts, FailureCount{Class: class, Detail: rec.result.Detail})
		}
		counts[index].Count++
	}
	slices.SortStableFunc(counts, func(a, b FailureCount) int { return cmp.Compare(b.Count, a.Count) })
	return counts
}
