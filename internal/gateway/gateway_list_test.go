package gateway

import "testing"

// Guards against gateways that started together all checking the list at the same time and removing
// the same entries.
func TestStaleCheckDelaysAreSpread(t *testing.T) {
	const samples, buckets = 1000, 10
	var counts [buckets]int
	for range samples {
		delay := staleCheckDelay()
		if delay < staleCheckInterval/2 || delay >= 3*staleCheckInterval/2 {
			t.Fatalf("delay %v is out of range", delay)
		}
		counts[int((delay-staleCheckInterval/2)*buckets/staleCheckInterval)]++
	}
	for bucket, n := range counts {
		if n < samples/buckets/2 {
			t.Errorf("%d of %d delays in bucket %d of %d", n, samples, bucket, buckets)
		}
	}
}
