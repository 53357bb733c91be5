package timeline

import (
	"cmp"
	"slices"
)

// Merge merges the events of several processes in causal order. Each process's
// events keep their order. Events that the receiver of a message records after its
// receipt come after those that the sender recorded before sending it, however far
// the VMs' clocks diverge: the receiver's clock observed the message's timestamp, so
// its later timestamps are greater.
// Concurrent events are ordered by clock, which is as accurate as the VMs' clocks,
// and then by process name, so that the order is deterministic.
func Merge(logs ...[]Event) []Event {
	merged := slices.Concat(logs...)
	slices.SortStableFunc(merged, compareEvents)
	return merged
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Timestamp.Wall, b.Timestamp.Wall),
		cmp.Compare(a.Timestamp.Logical, b.Timestamp.Logical),
		cmp.Compare(a.Process, b.Process),
	)
}
