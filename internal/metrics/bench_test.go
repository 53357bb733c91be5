package metrics

import (
	"fmt"
	"io"
	"testing"
	"time"
)

// targetClasses is how many classes the target size has.
const targetClasses = 60

// BenchmarkRequest is what counting one request's life costs.
func BenchmarkRequest(b *testing.B) {
	m := New()
	b.ReportAllocs()
	for b.Loop() {
		class := m.Request("hazard-flag")
		class.Received()
		class.FirstToken(320 * time.Millisecond)
		class.Finished(OnTime, 200)
	}
}

// BenchmarkText is what one read of all series costs at the target size.
func BenchmarkText(b *testing.B) {
	m := New()
	for i := range targetClasses {
		class := m.Request(fmt.Sprintf("class-%d", i))
		class.Refused("overload")
		for range sampleSize {
			class.FirstToken(time.Second)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := writeText(io.Discard, m.registry); err != nil {
			b.Fatal(err)
		}
	}
}
