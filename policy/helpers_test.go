package policy

import (
	"maps"
	"slices"
)

func sortedIDs(tickets map[string]Ticket) []string {
	return slices.Sorted(maps.Keys(tickets))
}

// classes counts the classes that hold state.
func (q *Queue) classes() int {
	n := 0
	for _, tier := range q.tiers {
		n += len(tier.classes) + len(tier.byKey)
	}
	return n
}
