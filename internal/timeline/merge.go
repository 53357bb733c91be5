package timeline

import (
	"cmp"
	"slices"
)

// Merge puts the events of several processes into one order. A process's own
// events keep their order, and whatever happened after a message was received
// comes after whatever happened before it was sent, however far the VMs'
// clocks are apart: the receiver's clock observed the message's stamp, so its
// later stamps are greater. Events that don't depend on each other are in
// order of the clocks, as far as these can be trusted, then of the processes'
// names, so that the order is the same each time.
func Merge(logs ...[]Event) []Event {
	merged := slices.Concat(logs...)
	slices.SortStableFunc(merged, compare)
	return merged
}

func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
		cmp.Compare(a.Process, b.Process),
	)
}
