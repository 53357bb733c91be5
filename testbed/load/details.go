package load

import (
	"cmp"
	"slices"
)

// FailureCount is the number of a class's requests with the same failure detail.
type DetailCount struct {
	Class  string `json:"class"`
	Detail string `json:"detail"`
	Count  int    `json:"count"`
}

// countFailures counts broken and wrong responses by class and detail, the most
// frequent first.
func details(scenario Scenario, records []record) []DetailCount {
	var counts []DetailCount
	for _, rec := range records {
		if rec.result.Detail == "" || rec.result.Outcome == OutcomeRefused || rec.result.Outcome == OutcomeUnknown {
			continue
		}
		class := scenario.Mix.Classes[rec.arrival.class].Name
		at := slices.IndexFunc(counts, func(c DetailCount) bool { return c.Class == class && c.Detail == rec.result.Detail })
		if at < 0 {
			at = len(counts)
			counts = append(counts, DetailCount{Class: class, Detail: rec.result.Detail})
		}
		counts[at].Count++
	}
	slices.SortStableFunc(counts, func(a, b DetailCount) int { return cmp.Compare(b.Count, a.Count) })
	return counts
}
