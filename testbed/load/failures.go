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
	for _, request := range records {
		if request.result.Detail == "" || request.result.Outcome == OutcomeRefused || request.result.Outcome == OutcomeUnknown {
			continue
		}
		class := scenario.Mix.Classes[request.arrival.class].Name
		index := slices.IndexFunc(counts, func(c FailureCount) bool { return c.Class == class && c.Detail == request.result.Detail })
		if index < 0 {
			index = len(counts)
			counts = append(counts, FailureCount{Class: class, Detail: request.result.Detail})
		}
		counts[index].Count++
	}
	slices.SortStableFunc(counts, func(a, b FailureCount) int { return cmp.Compare(b.Count, a.Count) })
	return counts
}
