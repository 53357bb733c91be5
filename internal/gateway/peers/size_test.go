package peers

import (
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

// Guards against an encoding of suspicions or limits that is too large: a gateway's control traffic
// may take three kilobytes per second, and the bytes that each suspected request and each limited
// server add to a datagram are part of it.
func TestEncodedSizesOfSuspicionsAndLimits(t *testing.T) {
	now := time.Now()
	makeSuspicions := func(n int) []policy.Suspicion {
		list := make([]policy.Suspicion, n)
		for i := range list {
			list[i] = policy.Suspicion{Fingerprint: 1<<63 + policy.Fingerprint(i), Seen: now.Add(-time.Hour), Crashes: []policy.Crash{{Instance: 1 << 31, At: now.Add(-time.Hour)}, {Instance: 1 << 30, At: now}, {Instance: 3 << 30, At: now}}}
		}
		return list
	}
	makeLimits := func(n int) []policy.LimitReport {
		list := make([]policy.LimitReport, n)
		for i := range list {
			list[i] = policy.LimitReport{Instance: 1<<31 + policy.Key(i), LimitEvidence: policy.LimitEvidence{Rate: 1.8, At: now.Add(-time.Minute)}, Sent: 2.3}
		}
		return list
	}
	encodedSize := func(s sharedState) int { return len(mustMarshal(t, s)) }
	perSuspicion := encodedSize(sharedState{Suspicions: packSuspicions(now, makeSuspicions(2))}) - encodedSize(sharedState{Suspicions: packSuspicions(now, makeSuspicions(1))})
	if perSuspicion > 50 {
		t.Errorf("%d bytes for a suspected request with three crashes", perSuspicion)
	}
	perLimit := encodedSize(sharedState{Limits: packLimits(now, makeLimits(2))}) - encodedSize(sharedState{Limits: packLimits(now, makeLimits(1))})
	if perLimit > 30 {
		t.Errorf("%d bytes for a limited server", perLimit)
	}
	t.Logf("%d bytes for a suspected request, %d for a limited server", perSuspicion, perLimit)
}
