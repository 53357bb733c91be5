package policy

import (
	"maps"
	"slices"
)

// sortedIDs returns the IDs of tickets in order, so that random draws from them are
// reproducible.
func sortedIDs(tickets map[string]Ticket) []string {
	return slices.Sorted(maps.Keys(tickets))
}

// classEntries counts the entries that the queue holds for classes.
func (q *Queue) classEntries() int {
	n := 0
	for _, tier := range q.tiers {
		n += len(tier.classes) + len(tier.byKey)
	}
	return n
}
