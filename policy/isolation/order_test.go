package isolation

import (
	"slices"
	"testing"

	"github.com/applepier/applepier/policy"
	"pgregory.net/rapid"
)

// orderOf returns the keys in the order of reservation.
func orderOf(servers []Server) []policy.Key {
	var o serverOrder
	o.update(servers)
	var keys []policy.Key
	for _, at := range o.sorted {
		keys = append(keys, at.key)
	}
	return keys
}

// Guards against streams on slow servers while faster ones are free.
func TestFastestServersAreReservedFirst(t *testing.T) {
	load := testLoad(40)
	plan := planAt(activePlanner(), 0, load)
	if plan.Count == 0 || plan.Count > 10 {
		t.Fatalf("%d reserved, the test needs 1 to 10", plan.Count)
	}
	for i, reserved := range plan.Reserved {
		if reserved && load.Servers[i].Slowdown > 1 {
			t.Errorf("server %d is reserved, with a slowdown of %v", i, load.Servers[i].Slowdown)
		}
	}
}

// Guards against an order that depends on small differences of the estimates, in which gateways
// differ.
func TestOrderWithinASpeedClassIsThatOfTheHash(t *testing.T) {
	equal := testLoad(40).Servers
	for i := range equal {
		equal[i].Slowdown = 1
	}
	estimated := slices.Clone(equal)
	for i := range estimated {
		estimated[i].Slowdown = []float64{0, 0.85, 0.93, 1.07, 1.15}[i%5]
	}
	if a, b := orderOf(equal), orderOf(estimated); !slices.Equal(a, b) {
		t.Errorf("order %v, with estimates from 0.85 to 1.15 %v", a, b)
	}
	estimated[7].Slowdown, estimated[9].Slowdown = 0.84, 1.16
	if order := orderOf(estimated); order[0] != estimated[7].Key || order[39] != estimated[9].Key {
		t.Error("a fast server isn't the first, or a slow one not the last")
	}
	listed := make([]policy.Key, 0, 40)
	for i := range equal {
		listed = append(listed, equal[i].Key)
	}
	if order := orderOf(equal); slices.Equal(order, listed) || slices.IsSorted(order) {
		t.Error("the order is that of the list or of the keys")
	}
}

// Guards against streams that move between servers whenever one is added or lost.
func TestAddedOrLostServerChangesOnlyItsOwnPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := testLoad(rapid.IntRange(2, 80).Draw(t, "servers")).Servers
		lost := rapid.IntRange(0, len(servers)-1).Draw(t, "lost")
		before := orderOf(servers)
		rest := slices.Delete(slices.Clone(servers), lost, lost+1)
		want := slices.DeleteFunc(before, func(key policy.Key) bool { return key == servers[lost].Key })
		if got := orderOf(rest); !slices.Equal(got, want) {
			t.Fatalf("order without server %d is %v, want %v", lost, got, want)
		}
	})
}

// Guards against an order that is kept although a server has changed its speed.
func TestOrderFollowsSpeed(t *testing.T) {
	var o serverOrder
	servers := testLoad(40).Servers
	o.update(servers)
	servers[5].Slowdown, servers[0].Slowdown = 0.3, 2
	o.update(servers)
	if !slices.EqualFunc(o.sorted, orderOf(servers), func(at place, key policy.Key) bool { return at.key == key }) {
		t.Error("the order is that of the earlier speeds")
	}
}
