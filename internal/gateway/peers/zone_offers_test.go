package peers

import (
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

// newZoneMesh returns a mesh that receives the demand of gateways of a zone, and a function with which
// one of them sends a datagram that offers a number of requests.
func newZoneMesh(t *testing.T) (*Mesh, func(plans bool, offered float64)) {
	t.Helper()
	a, b, _ := newMeshPair(t)
	a.Zone = "zone-1"
	return b, func(plans bool, offered float64) {
		a.PlansZones = plans
		a.OwnOfferCounts = func() map[string]policy.OfferCounts {
			var counts policy.OfferCounts
			counts[3].Offered = offered
			return map[string]policy.OfferCounts{"chat": counts}
		}
		// One of these datagrams announces the zone.
		for range zoneAnnouncementInterval {
			deliver(t, a, b)
		}
	}
}

// A gateway's demand is known by zone at its peers if it plans the zones' shares, and only then.
// Failure: all gateways of a zone are killed. Its demand is 0 after a second, and the age of what is
// known of the zone grows from their last datagram.
func TestDemandByZoneReachesPeers(t *testing.T) {
	b, send := newZoneMesh(t)
	send(false, 40)
	if zones := b.ZoneOffers("chat"); len(zones) != 0 {
		t.Errorf("zones %+v of gateways that don't announce theirs", zones)
	}
	send(true, 40)
	key := b.ZoneKey("zone-1")
	zone := b.ZoneOffers("chat")[key]
	if zone.Counts[3].Offered != 40 || !zone.Live {
		t.Errorf("received %+v, 40 requests were offered", zone)
	}
	if other := b.ZoneOffers("search")[key]; other.Counts != (policy.OfferCounts{}) {
		t.Errorf("%+v of another service", other.Counts)
	}
	later := time.Now().Add(peerTimeout + time.Millisecond)
	b.table.expire(later)
	if killed := b.table.zoneOffers(later, hashName("chat"))[key]; killed.Counts != (policy.OfferCounts{}) || killed.Live || !killed.KnownAt.Equal(zone.KnownAt) {
		t.Errorf("%+v a second after the last datagram", killed)
	}
}

// Guards against datagrams that grow where no price is set, and against announcements of zones that take
// more than the 3 KB per second that a gateway may receive for control, at 410 gateways.
func TestEncodedSizeOfDemandZone(t *testing.T) {
	const gateways, controlBytesPerSecond = 410, 3000
	without, with := len(mustMarshal(t, sharedState{})), len(mustMarshal(t, sharedState{DemandZone: 1 << 15}))
	if without != len(mustMarshal(t, map[int]any{})) {
		t.Errorf("%d bytes without a zone", without)
	}
	received := float64(gateways*(with-without)) / zoneAnnouncementInterval / gossipInterval.Seconds()
	if received > controlBytesPerSecond {
		t.Errorf("%.0f bytes per second for announcements of zones", received)
	}
}
