package metrics

import (
	"fmt"
	"io"
	"testing"
	"time"
)

// classCount is the number of classes at the system's target size.
const classCount = 60

// BenchmarkRequest measures the cost of counting one request from arrival to
// completion.
func BenchmarkRequest(b *testing.B) {
	m := New()
	b.ReportAllocs()
	for b.Loop() {
		class := m.ForClass("hazard-flag")
		class.Received()
		class.ObserveFirstToken(320 * time.Millisecond)
		class.Finished(OnTime, 200)
	}
}

// BenchmarkText measures the cost of one scrape of all series at the target size.
func BenchmarkText(b *testing.B) {
	m := New()
	for i := range classCount {
		class := m.ForClass(fmt.Sprintf("class-%d", i))
		class.Refused("overload")
		for range sampleSize {
			class.ObserveFirstToken(time.Second)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := writeText(io.Discard, m.registry); err != nil {
			b.Fatal(err)
		}
	}
}
