package gateway

import "testing"

// Gateways that started together must not all check the list at the same time and remove the same
// entries.
func TestStaleCheckDelaysAreSpread(t *testing.T) {
	const samples, buckets = 1000, 10
	var counts [buckets]int
	for range samples {
		delay := staleCheckDelay()
		if delay < staleCheckInterval/2 || delay >= 3*staleCheckInterval/2 {
			t.Fatalf("a pause of %v", delay)
		}
		counts[int((delay-staleCheckInterval/2)*buckets/staleCheckInterval)]++
	}
	for bucket, n := range counts {
		if n < samples/buckets/2 {
			t.Errorf("%d of %d pauses in part %d of %d", n, samples, bucket, buckets)
		}
	}
}
