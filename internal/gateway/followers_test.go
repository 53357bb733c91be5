package gateway

import (
	"testing"
	"time"
)

// A store that falls silent is noticed by nobody until its proof gets old: the
// proof that a gateway has then, at its oldest, serves callers for half of the
// bound at least.
func TestProofOutlastsStoreOutage(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute} {
		maxAge := maxFeedSilence + pollerWait(bound)
		if remaining := bound - maxAge; remaining < bound/2 {
			t.Errorf("within %v a proof may be %v old when the store falls silent", bound, maxAge)
		}
	}
}
