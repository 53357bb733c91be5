package peers

import (
	"testing"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
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

// Guards against pause counts that take a noticeable part of the traffic for control: each gateway
// receives those of all others.
func TestEncodedSizeOfPauseCounts(t *testing.T) {
	counts := make([]policy.PauseCounts, 2*maxPauseCounts)
	for i := range counts {
		counts[i] = policy.PauseCounts{Service: 1 << 31, Urgency: i % policy.UrgencyLevels, Late: 30, OnTime: 40}
	}
	encodedSize := func(n int) int {
		return len(mustMarshal(t, sharedState{PauseCounts: packPauseCounts(counts[:n])}))
	}
	each, largest := encodedSize(2)-encodedSize(1), encodedSize(len(counts))
	if each > 14 || largest > 14*maxPauseCounts+8 {
		t.Errorf("%d bytes for the counts of a level, %d in the largest datagram", each, largest)
	}
	t.Logf("%d bytes for the counts of a level, %d in the largest datagram", each, largest)
}

// Guards against a confirmation of the server list that takes a noticeable part of the traffic that a gateway
// may use for control: more than a twentieth of it, at 410 gateways.
func TestEncodedSizeOfServerListAge(t *testing.T) {
	const gateways, pollers, controlBytesPerSecond = 410, 3, 3000
	encodedSize := func(s sharedState) int { return len(mustMarshal(t, s)) }
	base := sharedState{StateVersion: 1 << 20, ConfirmationAge: 1000, StoreMode: polling, ServersPosition: follow.NewPosition(1, 1<<30)}
	confirmed := base
	confirmed.ServersAge = 1900
	perDatagram := encodedSize(confirmed) - encodedSize(base)
	received := float64(pollers*perDatagram) / gossipInterval.Seconds()
	if received > controlBytesPerSecond/20 {
		t.Errorf("%d bytes a datagram, %.0f bytes a second at a receiver", perDatagram, received)
	}
	t.Logf("%d bytes a datagram of a poller: %.0f bytes a second received by each of %d gateways", perDatagram, received, gateways)
}

// Guards against event intervals that take more of a datagram than their bound: at most 64 samples, in
// less than a kilobyte, and nothing if there are none.
func TestEncodedSizeOfEventIntervals(t *testing.T) {
	encodedSize := func(n int) int {
		intervals := make([]policy.EventInterval, n)
		for i := range intervals {
			intervals[i] = policy.EventInterval{Service: 1 << 31, Server: 1<<31 + policy.Key(i), Interval: 23_971 * time.Microsecond}
		}
		return len(mustMarshal(t, sharedState{EventIntervals: packEventIntervals(intervals)}))
	}
	empty, full := encodedSize(0), encodedSize(policy.MaxEventIntervals)
	perSample := encodedSize(2) - encodedSize(1)
	if empty != len(mustMarshal(t, sharedState{})) {
		t.Error("a datagram without samples is longer than one without the field")
	}
	if full-empty > 1000 || perSample > 15 {
		t.Errorf("%d bytes a sample, %d bytes for the largest number", perSample, full-empty)
	}
	if excess := encodedSize(policy.MaxEventIntervals + 100); excess != full {
		t.Errorf("%d bytes for more samples than are sent, want %d", excess, full)
	}
	// In a deployment of 30 gateways and 58 servers each server's samples arrive 15 times a second at most.
	t.Logf("%d bytes a sample, %d bytes for %d; 58 servers with 15 samples a second: %.1f KB/s received", perSample, full-empty, policy.MaxEventIntervals, 58*15*float64(perSample)/1000)
}

// Reports the size of a complete server list, which a starting gateway may get from another one.
func TestEncodedSizeOfServerList(t *testing.T) {
	const servers = 1200
	list := follow.Delta[backend.Info]{To: follow.NewPosition(1, 1<<30), Snapshot: true}
	for range servers {
		list.Items = append(list.Items, backend.Info{ID: "i-0123456789", Addr: "10.10.100.100:8389", Service: "service-name", Zone: "zone-name-1", SoftwareVersion: "v1", Slots: 64, Sequence: 1000})
	}
	size := len(mustMarshal(t, list))
	// The largest list has to pass a link of 10 Mbit/s within the second that a receiver waits.
	if size > 10_000_000/8 {
		t.Errorf("%d bytes for %d servers", size, servers)
	}
	t.Logf("%d bytes for %d servers", size, servers)
}
