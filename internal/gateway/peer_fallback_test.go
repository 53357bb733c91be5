package gateway

import (
	"slices"
	"testing"
	"time"
)

// Another gateway is queried once data has been missing for storeWait, and again only after another
// storeWait, since the data that it returns may not be usable. The wait starts again whenever no
// data is missing, here at one second.
func TestPeersAreQueriedAfterEachStoreWait(t *testing.T) {
	var fallback peerFallback
	start := time.Unix(0, 0)
	var queriedAt []time.Duration
	for elapsed := time.Duration(0); elapsed <= 2*time.Second; elapsed += peerCheckInterval {
		if fallback.due(start.Add(elapsed), elapsed != time.Second) {
			queriedAt = append(queriedAt, elapsed)
		}
	}
	var want []time.Duration
	for _, ms := range []int{300, 600, 900, 1400, 1700, 2000} {
		want = append(want, time.Duration(ms)*time.Millisecond)
	}
	if !slices.Equal(queriedAt, want) {
		t.Errorf("queried at %v, want %v", queriedAt, want)
	}
}
