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
	makeSuspicions := func(n int, segment bool) []policy.Suspicion {
		list := make([]policy.Suspicion, n)
		for i := range list {
			list[i] = policy.Suspicion{ID: policy.SuspectID{Hash: 1<<63 + uint64(i), Segment: segment}, Seen: now.Add(-time.Hour), Crashes: []policy.Crash{{Instance: 1 << 31, At: now.Add(-time.Hour), Ran: time.Second}, {Instance: 1 << 30, At: now, Ran: time.Second}, {Instance: 3 << 30, At: now, Ran: time.Second}}}
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
	suspicionsSize := func(n int, segment bool) int {
		requests, segments := packSuspicions(now, makeSuspicions(n, segment))
		return encodedSize(sharedState{Suspicions: requests, SegmentSuspicions: segments})
	}
	perSuspicion := suspicionsSize(2, false) - suspicionsSize(1, false)
	if perSuspicion > 50 {
		t.Errorf("%d bytes for a suspected request with three crashes", perSuspicion)
	}
	perSegment := suspicionsSize(2, true) - suspicionsSize(1, true)
	if perSegment > 60 {
		t.Errorf("%d bytes for a suspected segment with three crashes", perSegment)
	}
	perLimit := encodedSize(sharedState{Limits: packLimits(now, makeLimits(2))}) - encodedSize(sharedState{Limits: packLimits(now, makeLimits(1))})
	if perLimit > 30 {
		t.Errorf("%d bytes for a limited server", perLimit)
	}
	t.Logf("%d bytes for a suspected request, %d for a segment, %d for a limited server", perSuspicion, perSegment, perLimit)
}
