package timeline

import "testing"

// ringSize is the number of events that the processes keep.
const ringSize = 65536

// BenchmarkRecord is what one event costs.
func BenchmarkRecord(b *testing.B) {
	ring := NewRing("entry-1", &Clock{}, ringSize)
	b.ReportAllocs()
	for b.Loop() {
		ring.Record(KindTicket, "0193f1f2-7a3b-7c6d-8e9f-0a1b2c3d4e5f", "hazard-flag", "")
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
