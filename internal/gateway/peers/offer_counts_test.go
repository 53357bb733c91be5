package peers

import (
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

// A gateway's counts of offers reach its peers, and are dropped when the gateway sends no more
// datagrams.
func TestOfferCountsReachPeers(t *testing.T) {
	a, b, _ := newMeshPair(t)
	var sent policy.OfferCounts
	sent[3].Offered, sent[3].NoSlot = 40, 10
	sent[4].Offered = minOffered / 2
	a.OwnOfferCounts = func() map[string]policy.OfferCounts { return map[string]policy.OfferCounts{"chat": sent} }
	deliver(t, a, b)
	got := b.OfferCounts("chat")
	if got[3].Offered != 40 || got[3].NoSlot != 10 {
		t.Errorf("received %+v, sent %+v", got[3], sent[3])
	}
	if got[4].Offered != 0 {
		t.Errorf("a count below minOffered was sent: %+v", got[4])
	}
	if other := b.OfferCounts("search"); other != (policy.OfferCounts{}) {
		t.Errorf("offer counts %+v of another service", other)
	}
	sent[3].NoSlot = 4
	deliver(t, a, b)
	if got := b.OfferCounts("chat"); got[3].NoSlot != 4 {
		t.Errorf("%v refused after the second datagram, want 4", got[3].NoSlot)
	}
	b.table.expire(time.Now().Add(2 * peerTimeout))
	if got := b.OfferCounts("chat"); got[3].NoSlot != 0 {
		t.Errorf("%v refused still counted for a silent gateway", got[3].NoSlot)
	}
}
