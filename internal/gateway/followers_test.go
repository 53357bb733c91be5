package gateway

import (
	"testing"
	"time"
)

// When the store stops responding, the latest confirmation may already be as old as a poller's wait
// plus maxFeedSilence. Guards against waits so long that it then allows requests to be served for
// less than half of the bound.
func TestConfirmationOutlastsStoreOutage(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute} {
		maxAge := maxFeedSilence + pollerWait(bound)
		if remaining := bound - maxAge; remaining < bound/2 {
			t.Errorf("bound %v: the confirmation may be %v old when the store stops responding", bound, maxAge)
		}
	}
}
