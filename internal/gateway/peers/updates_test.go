package peers

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

func TestUpdatesReachPeers(t *testing.T) {
	a, b, _ := newMeshPair(t)
	sent := policy.PeerUpdate{
		PrefixUses:     []policy.PrefixUse{{Server: 0xfffffff0, Segment: 1<<63 + 5, Prefilled: true}, {Server: 2, Segment: 3}},
		FirstTokens:    []policy.TTFTSample{{Service: 9, Server: 2, Urgency: 4, TokensAhead: 12_000, Latency: 250 * time.Millisecond}},
		Unanswered:     []policy.Key{0xfffffff0, 0xfffffff0},
		Pauses:         []policy.Pause{{Service: 9, Server: 0xfffffff0, Urgency: 3, Longest: 118 * time.Millisecond}},
		EventIntervals: []policy.EventInterval{{Service: 9, Server: 0xfffffff0, Interval: 11_873 * time.Microsecond}},
		PauseCounts:    []policy.PauseCounts{{Service: 9, Urgency: 2, Late: 3, OnTime: 40}},
	}
	a.TakeUpdates = func() policy.PeerUpdate { return sent }
	var merged []policy.PeerUpdate
	b.MergeUpdates = func(updates policy.PeerUpdate) { merged = append(merged, updates) }
	deliver(t, a, b)
	if len(merged) != 1 || !reflect.DeepEqual(merged[0], sent) {
		t.Fatalf("merged %+v, sent %+v", merged, sent)
	}
	// Unknown urgency levels are mapped to the least urgent one.
	sent.FirstTokens[0].Urgency, sent.Pauses[0].Urgency, sent.PauseCounts[0].Urgency = 200, 201, 202
	deliver(t, a, b)
	if got := merged[1].FirstTokens[0].Urgency; got != policy.UrgencyLevels-1 {
		t.Errorf("level 200 decoded as %d", got)
	}
	if got := merged[1].Pauses[0].Urgency; got != policy.UrgencyLevels-1 {
		t.Errorf("level 201 decoded as %d", got)
	}
	if got := merged[1].PauseCounts[0].Urgency; got != policy.UrgencyLevels-1 {
		t.Errorf("level 202 decoded as %d", got)
	}
	// Without updates, MergeUpdates is not called.
	sent = policy.PeerUpdate{}
	deliver(t, a, b)
	if len(merged) != 2 {
		t.Errorf("%d merges, want 2", len(merged))
	}
}

// Guards against times in suspicions that depend on the sender's clock: they are sent as ages, since
// the clocks of gateways may differ.
func TestSuspicionsReachPeers(t *testing.T) {
	a, b, _ := newMeshPair(t)
	now := time.Now()
	sent := []policy.Suspicion{
		{ID: policy.Fingerprint(1<<63 + 5).ID(), Seen: now.Add(-2 * time.Minute), Crashes: []policy.Crash{{Instance: 0xfffffff0, At: now.Add(-time.Hour)}, {Instance: 3, At: now}}},
		{ID: policy.Fingerprint(7).ID(), Cleared: now.Add(-time.Minute)},
	}
	a.TakeUpdates = func() policy.PeerUpdate { return policy.PeerUpdate{Suspicions: sent} }
	var merged []policy.Suspicion
	b.MergeUpdates = func(updates policy.PeerUpdate) { merged = append(merged, updates.Suspicions...) }
	deliver(t, a, b)
	if len(merged) != 2 || merged[0].ID != sent[0].ID || len(merged[0].Crashes) != 2 || !merged[0].Cleared.IsZero() || merged[1].Crashes != nil {
		t.Fatalf("merged %+v, sent %+v", merged, sent)
	}
	checkTime := func(got, want time.Time) {
		t.Helper()
		if d := got.Sub(want); d < -time.Second || d > time.Second {
			t.Errorf("got %v, which is %v from the time sent", got, d)
		}
	}
	checkTime(merged[0].Crashes[0].At, sent[0].Crashes[0].At)
	checkTime(merged[0].Crashes[1].At, sent[0].Crashes[1].At)
	checkTime(merged[1].Cleared, sent[1].Cleared)
	checkTime(merged[0].Seen, sent[0].Seen)
}

// The requests that a peer sent to a limited server count until it sends no more datagrams. A limit
// that is not a number is ignored, and one that the peer has only from others isn't merged.
func TestServerLimitsReachPeers(t *testing.T) {
	a, b, _ := newMeshPair(t)
	now := time.Now()
	a.TakeUpdates = func() policy.PeerUpdate {
		return policy.PeerUpdate{Limits: []policy.LimitReport{
			{Instance: 0xfffffff0, LimitEvidence: policy.LimitEvidence{Rate: 1.8, At: now.Add(-time.Minute)}, Sent: 2.5},
			{Instance: 2, LimitEvidence: policy.LimitEvidence{Lifted: true, At: now}},
			{Instance: 3, LimitEvidence: policy.LimitEvidence{Rate: math.NaN(), At: now}, Sent: math.NaN()},
			{Instance: 4, Sent: 1},
		}}
	}
	var merged []policy.LimitReport
	b.MergeUpdates = func(updates policy.PeerUpdate) { merged = append(merged, updates.Limits...) }
	deliver(t, a, b)
	if len(merged) != 2 || merged[0].Rate != 1.8 || merged[0].Lifted || !merged[1].Lifted {
		t.Fatalf("merged %+v", merged)
	}
	if age := now.Sub(merged[0].At); age < 59*time.Second || age > 61*time.Second {
		t.Errorf("age %v, want one minute", age)
	}
	if got := b.LimitedSends(0xfffffff0); got != 2.5 {
		t.Errorf("peer sent %v, want 2.5", got)
	}
	if b.LimitedSends(3) != 0 || b.LimitedSends(4) != 1 {
		t.Errorf("peer sent %v and %v, want 0 and 1", b.LimitedSends(3), b.LimitedSends(4))
	}
	deliver(t, a, b)
	if got := b.LimitedSends(0xfffffff0); got != 2.5 {
		t.Errorf("peer sent %v after the second datagram, want 2.5", got)
	}
	b.table.expire(time.Now().Add(2 * peerTimeout))
	if got := b.LimitedSends(0xfffffff0); got != 0 {
		t.Errorf("%v requests still counted for a silent gateway", got)
	}
}

// Suspicions of segments are sent apart from those of requests, which gateways of earlier releases read:
// such a gateway would take a segment for a request, and have the segment explain the crashes of the
// request that it has to quarantine.
func TestSegmentSuspicionsReachPeers(t *testing.T) {
	a, b, _ := newMeshPair(t)
	now := time.Now()
	sent := []policy.Suspicion{
		{ID: policy.Fingerprint(7).ID(), Crashes: []policy.Crash{{Instance: 4, At: now}}},
		{ID: policy.SegmentID(7).ID(), Cleared: now.Add(-time.Minute), Seen: now, Crashes: []policy.Crash{{Instance: 3, At: now.Add(-time.Second), Ran: 250 * time.Millisecond}}},
	}
	a.TakeUpdates = func() policy.PeerUpdate { return policy.PeerUpdate{Suspicions: sent} }
	var merged []policy.Suspicion
	b.MergeUpdates = func(updates policy.PeerUpdate) { merged = append(merged, updates.Suspicions...) }
	deliver(t, a, b)
	if len(merged) != 2 || merged[0].ID != sent[0].ID || merged[1].ID != sent[1].ID || len(merged[1].Crashes) != 1 || merged[1].Crashes[0].Ran != sent[1].Crashes[0].Ran {
		t.Fatalf("merged %+v, sent %+v", merged, sent)
	}
	if d := merged[1].Cleared.Sub(sent[1].Cleared); d < -time.Second || d > time.Second {
		t.Errorf("cleared %v from the time sent", d)
	}
	if shared := a.buildSharedState(); len(shared.Suspicions) != 1 || len(shared.SegmentSuspicions) != 1 {
		t.Errorf("%d suspicions where earlier releases read them, want that of the request only", len(shared.Suspicions))
	}
}
