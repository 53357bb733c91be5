package peers

import (
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

// What one gateway is short of reaches the others, and is forgotten with it.
func TestShortagesAreShared(t *testing.T) {
	a, b, _ := meshes(t)
	var short policy.Shortage
	short[3].Offered, short[3].Lacked = 40, 10
	short[4].Offered = leastOffered / 2
	a.Shortages = func() map[string]policy.Shortage { return map[string]policy.Shortage{"chat": short} }
	pass(t, a, b)
	got := b.Shortage("chat")
	if got[3].Offered != 40 || got[3].Lacked != 10 {
		t.Errorf("merged %+v, sent %+v", got[3], short[3])
	}
	if got[4].Offered != 0 {
		t.Errorf("what had faded away was told: %+v", got[4])
	}
	if other := b.Shortage("search"); other != (policy.Shortage{}) {
		t.Errorf("another service is short of %+v", other)
	}
	short[3].Lacked = 4
	pass(t, a, b)
	if got := b.Shortage("chat"); got[3].Lacked != 4 {
		t.Errorf("%v lacked after the second datagram, told 4", got[3].Lacked)
	}
	b.table.expire(time.Now().Add(2 * silentAfter))
	if got := b.Shortage("chat"); got[3].Lacked != 0 {
		t.Errorf("a silent gateway is still short of %v", got[3].Lacked)
	}
}
