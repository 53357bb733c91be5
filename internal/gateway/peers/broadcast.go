package peers

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/logging"
)

// broadcast sends one datagram to each known gateway.
func (m *Mesh) broadcast() {
	// The stamps to echo must be read before buildSharedState measures the confirmation's age:
	// receivers subtract that age from the echoed stamp.
	destinations := m.table.destinations()
	if len(destinations) == 0 {
		return
	}
	if m.Usage != nil {
		m.table.selectUsageReceivers(time.Now(), destinations)
	}
	m.sequence++
	encoded, err := cbor.Marshal(m.buildSharedState())
	if err != nil {
		m.Log.Error(logging.EventPeerUnreadable, logging.Reason("encode state: "+err.Error()))
		return
	}
	msg := message{From: m.Self.Name, BootID: m.bootID, Sequence: m.sequence, Stamp: uint64(boottime.Now()), State: encoded}
	for i := range destinations {
		dst := &destinations[i]
		msg.Echo, msg.EchoBootID, msg.Usage = dst.echoStamp, dst.bootID, m.usageMessageFor(dst)
		m.send(dst.addr, &msg)
	}
}

// buildSharedState returns the part of a datagram that is the same for all receivers. The
// confirmation's age is rounded up to the next millisecond.
func (m *Mesh) buildSharedState() *sharedState {
	confirmation := m.Confirmation()
	store := m.StoreStatus()
	shared := &sharedState{StateVersion: confirmation.Version, StoreMode: store.mode(), ServersPosition: store.ServersPosition, QuarantineKnown: store.QuarantineKnown, SegmentsKnown: store.QuarantineKnown}
	if m.sequence%zoneAnnouncementInterval == 1 {
		shared.Zone = zoneKey(m.Zone)
		if m.PlansZones {
			shared.DemandZone = shared.Zone
		}
	}
	if confirmation.At > 0 {
		shared.ConfirmationAge = uint64((boottime.Now() - confirmation.At).Milliseconds() + 1)
	}
	if store.ServersPosition != 0 && store.ServersConfirmedAt > 0 {
		shared.ServersAge = uint64((boottime.Now() - store.ServersConfirmedAt).Milliseconds() + 1)
	}
	for _, l := range m.Loads() {
		if l.Counts != (backend.Counts{}) {
			shared.Loads = append(shared.Loads, packLoad(l.Server, &l.Counts))
		}
	}
	for service, counts := range m.OwnOfferCounts() {
		if packed := packOfferCounts(service, &counts); len(packed.Levels) > 0 {
			shared.OfferCounts = append(shared.OfferCounts, packed)
		}
	}
	updates := m.TakeUpdates()
	shared.PrefixUses, shared.FirstTokens, shared.Pauses = packPrefixUses(updates.PrefixUses), packTTFTSamples(updates.FirstTokens), packPauses(updates.Pauses)
	shared.EventIntervals, shared.PauseCounts = packEventIntervals(updates.EventIntervals), packPauseCounts(updates.PauseCounts)
	now := time.Now()
	shared.Unanswered, shared.Limits = updates.Unanswered, packLimits(now, updates.Limits)
	shared.Suspicions, shared.SegmentSuspicions = packSuspicions(now, updates.Suspicions)
	return shared
}

// send encodes a datagram and sends it to an address. Errors are logged, except those of the socket.
func (m *Mesh) send(addr string, msg *message) {
	datagram, err := cbor.Marshal(msg)
	if err != nil {
		m.Log.Error(logging.EventPeerUnreadable, logging.Reason("encode datagram: "+err.Error()))
		return
	}
	dst, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		m.Log.Warn(logging.EventPeerUnreadable, logging.Peer(addr), logging.Reason(err.Error()))
		return
	}
	// A failed send is treated like a lost datagram: the next one replaces it.
	_, _ = m.conn.WriteTo(datagram, dst)
}
