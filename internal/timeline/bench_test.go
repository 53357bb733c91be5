package timeline

import "testing"

// ringSize is the number of events that the processes keep.
const ringSize = 65536

// BenchmarkRecord is what one event costs.
func BenchmarkRecord(b *testing.B) {
	ring := NewRing("entry-1", &Clock{}, ringSize)
	b.ReportAllocs()
	for b.Loop() {
		ring.Record(KindTicket, "AZPx8no7fG2OnwobLD1OXw", "hazard-flag", "")
	}
}

// BenchmarkSelect is what one question for a request costs a full ring.
func BenchmarkSelect(b *testing.B) {
	ring := NewRing("entry-1", &Clock{}, ringSize)
	for range ringSize {
		ring.Record(KindTicket, "r-1", "hazard-flag", "")
	}
	b.ReportAllocs()
	for b.Loop() {
		ring.Select(Filter{Since: DefaultSince, Request: "r-2", Limit: DefaultLimit})
	}
}
