package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/policy/zonerouting"
)

// fakeZonePeers are peers that report what a test sets; the key of a zone is its first letter.
type fakeZonePeers map[uint16]policy.ZoneOffers

func (f fakeZonePeers) ZoneKey(zone string) uint16 { return uint16(zone[0]) }
func (f fakeZonePeers) ZoneOffers(string) map[uint16]policy.ZoneOffers {
	copied := map[uint16]policy.ZoneOffers{}
	for key, offers := range f {
		copied[key] = offers
	}
	return copied
}

type shareRecorder struct {
	Observer
	changes []ZoneShareChange
}

func (o *shareRecorder) ZoneShareChanged(c ZoneShareChange) { o.changes = append(o.changes, c) }

// newZoneRouter returns a Router of zone a with peers in the zones a and b that offer requests of 2,000
// tokens at the given rates, and four servers in each zone, which prefill 40 tokens per millisecond.
func newZoneRouter(rateA, rateB float64) (*Router, fakeZonePeers, []policy.Server) {
	r, price := newTestRouter(), 5.0
	peers := fakeZonePeers{}
	for key, rate := range map[uint16]float64{'a': rateA, 'b': rateB} {
		offers := policy.ZoneOffers{Live: true, KnownAt: time.Now()}
		offers.Counts[3].Offered = rate / 2 // of the last half second
		peers[key] = offers
	}
	r.Zone, r.ZonePrice, r.ZonePeers, r.Observer, r.Random = "a", &price, peers, &shareRecorder{}, rand.New(rand.NewPCG(1, 2))
	r.serviceFor("s").zones.observeSent(3, 2000, 8000)
	var servers []policy.Server
	for _, name := range []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"} {
		servers = append(servers, policy.Server{Name: name, Zone: name[:1], Slots: 48})
	}
	return r, peers, servers
}

// planned returns the share of this zone's requests that the router sends to zone b after a plan.
func planned(r *Router, servers []policy.Server) zonerouting.Share {
	r.serviceFor("s").zones.plannedAt = time.Time{}
	r.assignZone("s", &policy.Job{}, servers)
	return r.serviceFor("s").zones.shares[[2]string{"a", "b"}]
}

// Guards against zones that are planned, or peers that are asked, where no price is set.
func TestNoZoneIsAssignedWithoutPrice(t *testing.T) {
	r, _, servers := newZoneRouter(200, 20)
	r.ZonePrice, r.ZonePeers = nil, nil
	job := policy.Job{Zone: "a"}
	r.assignZone("s", &job, servers)
	if job.PlannedZone != "" || job.CrossingCost != 0 || len(r.ZoneShares()) != 0 {
		t.Errorf("job %+v, shares %v without a price", job, r.ZoneShares())
	}
}

// Guards against shares that aren't applied, and against a change that is reported more than once in a
// second or without what it was computed from.
func TestRequestsAreAssignedByShare(t *testing.T) {
	r, _, servers := newZoneRouter(120, 20)
	if share := planned(r, servers); share.Fraction < 0.2 || share.Fraction > 0.6 || share.Reason != zonerouting.ReasonSooner {
		t.Fatalf("share %+v of a zone with 1.5 times its capacity", share)
	}
	toB, want := 0, planned(r, servers).Fraction
	const requests = 2000
	for range requests {
		job := policy.Job{Zone: "a"}
		r.assignZone("s", &job, servers)
		if job.PlannedZone == "b" {
			toB++
		}
	}
	if got := float64(toB) / requests; got < want-0.05 || got > want+0.05 {
		t.Errorf("%.3f assigned to zone b, the share is %.3f", got, want)
	}
	changes := r.Observer.(*shareRecorder).changes
	if len(changes) != 1 {
		t.Fatalf("%d changes reported", len(changes))
	}
	if c := changes[0]; c.Service != "s" || c.From.Name != "a" || c.To.Name != "b" || c.From.Capacity != 160_000 || c.From.Demand < 200_000 || c.To.Demand > 50_000 || c.CrossingCost <= zoneRoundTrip {
		t.Errorf("reported %+v", c)
	}
	if shares := r.ZoneShares(); len(shares) != 1 || shares[0].To != "b" || shares[0].Fraction != want {
		t.Errorf("shares %+v", shares)
	}
}

// Failure: half of a zone's servers end, in any of the ways in which a gateway notices. Its capacity is
// that of the others.
func TestEndedServersDontCountAsCapacity(t *testing.T) {
	r, _, servers := newZoneRouter(60, 60)
	if share := planned(r, servers); share.Fraction != 0 {
		t.Fatalf("share %+v of equal zones", share)
	}
	servers[0].Draining = true
	for range 10 {
		r.MergeUpdates(policy.PeerUpdate{Unanswered: []policy.Key{policy.KeyOf("a2")}})
	}
	zones, _ := r.zoneStates(time.Now(), "s", r.serviceFor("s"), servers)
	if zones[0].Capacity != 80_000 || zones[1].Capacity != 160_000 {
		t.Errorf("capacities %.0f and %.0f", zones[0].Capacity, zones[1].Capacity)
	}
	if share := planned(r, servers); share.Fraction < 0.1 {
		t.Errorf("share %+v with half of the servers", share)
	}
}

// Failures: information about a zone is older than 3 s, and the gateway is cut off. Less is sent to the
// zone, and nothing if nothing was ever received from it.
func TestZonesWithoutInformationGetNothing(t *testing.T) {
	r, peers, servers := newZoneRouter(120, 20)
	fresh := planned(r, servers).Fraction
	old := peers['b']
	old.Live, old.KnownAt, old.Counts = false, time.Now().Add(-5*time.Second), policy.OfferCounts{}
	peers['b'] = old
	if share := planned(r, servers); share.Fraction > 0.5*fresh || share.Fraction == 0 || share.Reason != zonerouting.ReasonOldInformation {
		t.Errorf("share %+v after 5 s without information, %.3f before", share, fresh)
	}
	delete(peers, 'b')
	if share := planned(r, servers); share.Fraction != 0 {
		t.Errorf("share %+v of a zone that nothing is known of", share)
	}
}

// Failure: all gateways of a zone are killed, which other gateways know by a demand of 0 after a second.
// Its servers get requests of other zones while its last figures are recent.
func TestServersOfKilledGatewaysAreUsed(t *testing.T) {
	r, peers, servers := newZoneRouter(68, 68)
	if share := planned(r, servers); share.Fraction != 0 {
		t.Fatalf("share %+v of equal zones", share)
	}
	peers['b'] = policy.ZoneOffers{KnownAt: time.Now().Add(-1100 * time.Millisecond)}
	if share := planned(r, servers); share.Fraction == 0 {
		t.Errorf("share %+v after zone b's gateways were killed", share)
	}
}

// Guards against two zones that send to each other at once because each hasn't sent requests of the
// other's level, whose size it therefore doesn't know.
func TestZonesWithDifferentLevelsDontOppose(t *testing.T) {
	for _, own := range []string{"a", "b"} {
		r, peers, servers := newZoneRouter(0, 0)
		for key, level := range map[uint16]int{'a': 3, 'b': 4} {
			offers := policy.ZoneOffers{Live: true, KnownAt: time.Now()}
			offers.Counts[level].Offered = 38 // 76 a second of the 80 that a zone prefills
			peers[key] = offers
		}
		r.Zone = own
		if own == "b" {
			z := &r.serviceFor("s").zones
			z.prefillTokens[3], z.prefillTokens[4] = 0, 2000
		}
		planned(r, servers)
		for pair, share := range r.serviceFor("s").zones.shares {
			if share.Fraction > 0 {
				t.Errorf("in zone %s: share %+v of %v with equal demands", own, share, pair)
			}
		}
	}
}

// Guards against a backlog at a server that takes no requests: it delays nobody else in its zone.
func TestBacklogOfUnusableServersDoesNotCount(t *testing.T) {
	r, _, servers := newZoneRouter(20, 20)
	servers[0].Draining = true
	servers[0].Pending[3].Requests, servers[0].Pending[3].Tokens = 50, 150_000
	if share := planned(r, servers); share.Fraction != 0 {
		t.Errorf("share %+v though three servers of the zone are idle", share)
	}
}
