package peers

import (
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

// What a datagram carries more, for each request under suspicion and each server with a
// limit, is bounded: control traffic has three kilobytes a second at a gateway.
func TestSizesOfSuspicionsAndLimits(t *testing.T) {
	now := time.Now()
	suspicions := func(n int) []policy.Suspicion {
		all := make([]policy.Suspicion, n)
		for i := range all {
			all[i] = policy.Suspicion{Fingerprint: 1<<63 + policy.Fingerprint(i), Seen: now.Add(-time.Hour), Crashes: []policy.Crash{{Start: 1 << 31, At: now.Add(-time.Hour)}, {Start: 1 << 30, At: now}, {Start: 3 << 30, At: now}}}
		}
		return all
	}
	limits := func(n int) []policy.ServerLimit {
		all := make([]policy.ServerLimit, n)
		for i := range all {
			all[i] = policy.ServerLimit{Server: 1<<31 + policy.Key(i), Evidence: policy.Evidence{Rate: 1.8, At: now.Add(-time.Minute)}, Sent: 2.3}
		}
		return all
	}
	size := func(s state) int { return len(encode(t, s)) }
	one := size(state{Suspicions: suspicionsOf(now, suspicions(2))}) - size(state{Suspicions: suspicionsOf(now, suspicions(1))})
	if one > 50 {
		t.Errorf("%d bytes for a request under which three servers ended", one)
	}
	limited := size(state{Limits: limitsOf(now, limits(2))}) - size(state{Limits: limitsOf(now, limits(1))})
	if limited > 30 {
		t.Errorf("%d bytes for a server with a limit", limited)
	}
	t.Logf("%d bytes for a request, %d for a server", one, limited)
}
