package gateway

import (
	"testing"
	"time"
)

// A silent store isn't noticed until its confirmation gets old. The oldest confirmation that a
// gateway may hold at that moment must still let it serve requests for at least half of the bound.
func TestConfirmationOutlastsStoreOutage(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute} {
		maxAge := maxFeedSilence + pollerWait(bound)
		if remaining := bound - maxAge; remaining < bound/2 {
			t.Errorf("bound %v: the confirmation may be %v old when the store falls silent", bound, maxAge)
		}
	}
}
