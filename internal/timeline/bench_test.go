package timeline

import "testing"

// ringSize is the capacity of the processes' rings in events.
const ringSize = 65536

// BenchmarkRecord measures the cost of recording an event.
func BenchmarkRecord(b *testing.B) {
	ring := NewRing("entry-1", &Clock{}, ringSize)
	b.ReportAllocs()
	for b.Loop() {
		ring.Record(KindTicket, "AZPx8no7fG2OnwobLD1OXw", "hazard-flag", "")
	}
}

// BenchmarkSelect measures the cost of selecting one request's events from a full
// ring.
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
