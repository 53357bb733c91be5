package peers

import (
	"testing"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/follow"
)

// Guards against a gateway that can't reach the store being counted as preceding others, which would
// then leave polling to it.
func TestUnreachableStoreExcludesGatewaysFromTheOrder(t *testing.T) {
	a, b, _ := newMeshPair(t)
	a.Config.StoreStatus = func() StoreStatus { return StoreStatus{} }
	b.Config.StoreStatus = func() StoreStatus { return StoreStatus{} }
	deliver(t, a, b)
	deliver(t, b, a)
	if a.PrecedingPeers()+b.PrecedingPeers() != 0 {
		t.Errorf("%d peers precede a, %d precede b, although neither can reach the store", a.PrecedingPeers(), b.PrecedingPeers())
	}
}

func TestStoreStatusReachesPeers(t *testing.T) {
	a, b, _ := newMeshPair(t)
	deliver(t, a, b)
	if b.PeerPollsStore() || b.PeerWithNewerServers(0) != "" {
		t.Error("a doesn't poll and knows no servers")
	}
	a.Config.StoreStatus = func() StoreStatus { return StoreStatus{Reachable: true, Polling: true, ServersPosition: 8} }
	deliver(t, a, b)
	if !b.PeerPollsStore() || b.PeerWithNewerServers(7) == "" || b.PeerWithNewerServers(8) != "" {
		t.Errorf("peer polls store %v, peer with servers after 7 %q, after 8 %q", b.PeerPollsStore(), b.PeerWithNewerServers(7), b.PeerWithNewerServers(8))
	}
	if b.PeerKnowsQuarantine() {
		t.Error("a doesn't know the quarantined requests")
	}
	a.Config.StoreStatus = func() StoreStatus {
		return StoreStatus{Reachable: true, Polling: true, ServersPosition: 8, QuarantineKnown: true}
	}
	deliver(t, a, b)
	if !b.PeerKnowsQuarantine() {
		t.Error("a knows the quarantined requests, but b doesn't know that it does")
	}
	afterTimeout := time.Now().Add(2 * peerTimeout)
	if b.table.anyPolling(afterTimeout) || b.table.anyKnowsQuarantine(afterTimeout) || b.table.withNewerServers(afterTimeout, 7) != "" {
		t.Error("a silent peer is still used")
	}
}

// Guards against a starting gateway that leaves the store unread because a gateway of an earlier release
// knows the quarantined requests: that one doesn't know the segments.
func TestPeerOfEarlierReleaseDoesNotKnowTheSegments(t *testing.T) {
	table := newTable()
	earlier := &decodedMessage{message: message{From: "earlier", BootID: 1, Sequence: 1}, sharedState: sharedState{QuarantineKnown: true}}
	table.update(time.Now(), "127.0.0.1:1", earlier)
	if table.anyKnowsQuarantine(time.Now()) {
		t.Error("a gateway of an earlier release counts as knowing the quarantined segments")
	}
}

// Guards against several gateways that each make the trial of a quarantined segment, and against a trial
// that none makes: each key has one owner among the gateways that know what is quarantined.
func TestTrialHasOneOwner(t *testing.T) {
	a, b, _ := newMeshPair(t)
	known := func() StoreStatus { return StoreStatus{Reachable: true, QuarantineKnown: true} }
	a.Config.StoreStatus, b.Config.StoreStatus = known, known
	deliver(t, a, b)
	deliver(t, b, a)
	owned := 0
	for key := range uint64(100) {
		if a.OwnsTrial(key) == b.OwnsTrial(key) {
			t.Fatalf("key %d: both gateways own the trial, or none", key)
		}
		if a.OwnsTrial(key) {
			owned++
		}
	}
	if owned < 20 || owned > 80 {
		t.Errorf("a owns %d trials of 100", owned)
	}
	b.Config.StoreStatus = func() StoreStatus { return StoreStatus{Reachable: true} }
	deliver(t, b, a)
	for key := range uint64(100) {
		if !a.OwnsTrial(key) || b.OwnsTrial(key) {
			t.Fatalf("key %d: want the trial owned by the gateway that knows what is quarantined", key)
		}
	}
}

// Guards against a gateway that can't tell how old its list of backend servers is: one that polls the
// store passes on as of when its list was complete, dated on the receiver's clock.
func TestConfirmationOfServerListReachesPeers(t *testing.T) {
	a, b, _ := newMeshPair(t)
	var confirmedAt time.Duration
	var position follow.Position
	b.Config.ConfirmServers = func(at time.Duration, newest follow.Position) { confirmedAt, position = at, newest }
	a.Config.StoreStatus = func() StoreStatus {
		return StoreStatus{Reachable: true, Polling: true, ServersPosition: 8, ServersConfirmedAt: boottime.Now() - time.Second}
	}
	before := boottime.Now()
	deliver(t, b, a)
	deliver(t, a, b)
	if position != 8 || confirmedAt < before-1100*time.Millisecond || confirmedAt > boottime.Now()-time.Second {
		t.Errorf("list confirmed at position %d, %v ago", position, boottime.Now()-confirmedAt)
	}
	position = 0
	a.Config.StoreStatus = func() StoreStatus { return StoreStatus{Reachable: true, ServersPosition: 8} }
	deliver(t, a, b)
	if position != 0 {
		t.Error("a gateway that doesn't poll confirms the list")
	}
}

// Guards against an age that overflows and dates a confirmation at about now, so that a revoked key, or a
// server that drains, would pass for current.
func TestHugeAgeConfirmsNothing(t *testing.T) {
	a, b, _ := newMeshPair(t)
	deliver(t, b, a)
	// In nanoseconds, 2^58 milliseconds are a multiple of 2^64.
	const wrapsToOne = 1<<58 + 1
	for _, age := range []uint64{wrapsToOne, 1 << 63, 1<<64 - 1} {
		in := &decodedMessage{message: message{Echo: uint64(boottime.Now()), EchoBootID: b.bootID}}
		if at := b.confirmationTime(in, age); at != 0 {
			t.Errorf("an age of %d ms dates a confirmation %v ago", age, boottime.Now()-at)
		}
	}
	in := &decodedMessage{message: message{Echo: uint64(boottime.Now()), EchoBootID: b.bootID}}
	if at := b.confirmationTime(in, 5); at == 0 {
		t.Error("an age of 5 ms dates no confirmation")
	}
}
