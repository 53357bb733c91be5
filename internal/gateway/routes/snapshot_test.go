package routes

import (
	"fmt"
	"testing"
	"time"
)

func intPtr(n int) *int { return &n }

func newTestSnapshot(version uint64) *Snapshot {
	allRoutes := []*Route{
		{Name: "root", Host: "a.example", Prefix: "/", Tier: 2, Shares: []Share{{Service: "s", Weight: 1}}},
		{Name: "x", Host: "A.example", Prefix: "/x/", Tier: 0, Shares: []Share{{Service: "s", Weight: 1}}},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/", Tier: 1, Public: true, Shares: []Share{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
	}
	customers := []*Customer{{Name: "first", Tier: intPtr(0), Keys: []string{"k0"}}, {Name: "second", Tier: intPtr(1), Keys: []string{"k1", "k2"}}, {Name: "plain", Keys: []string{"k3"}}}
	return NewSnapshot(version, Limits{}, allRoutes, nil, Access{Customers: customers})
}

func TestMatchLongestPrefix(t *testing.T) {
	s := newTestSnapshot(1)
	for path, want := range map[string]string{
		"/": "root", "/x": "root", "/x/": "x", "/x/yz": "x", "/x/y/": "xy", "/x/y/z/w": "xy", "//x/y/": "root", "": "",
	} {
		got := ""
		if r := s.Match("a.EXAMPLE:80", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%q: %q, want %q", path, got, want)
		}
	}
	if s.Match("b.example", "/x/") != nil {
		t.Error("another host's route matches")
	}
}

func TestPickServiceByWeight(t *testing.T) {
	r := newTestSnapshot(1).Match("a.example", "/x/y/")
	count := map[string]int{}
	for i := range uint64(1000) {
		count[r.PickService(i)]++
	}
	if count["s"] != 900 || count["t"] != 100 {
		t.Errorf("shares %v", count)
	}
	zero := Route{Shares: []Share{{Service: "a"}, {Service: "b", Weight: -3}}}
	if zero.PickService(7) != "a" {
		t.Error("no service is picked if all weights are zero or negative")
	}
}

func TestCustomerKeys(t *testing.T) {
	s := newTestSnapshot(1)
	if c, ok := s.CustomerByKey("k2"); !ok || c.Name != "second" {
		t.Errorf("k2 belongs to %+v", c)
	}
	if _, ok := s.CustomerByKey(""); ok {
		t.Error("the empty key belongs to a customer")
	}
	if !s.RequiresKey(s.Match("a.example", "/")) || s.RequiresKey(s.Match("a.example", "/x/y/")) {
		t.Error("RequiresKey is wrong for a public or a non-public route")
	}
	open := NewSnapshot(1, Limits{}, []*Route{{Host: "h", Prefix: "/"}}, nil, Access{WithoutKeys: true})
	if open.RequiresKey(open.Match("h", "/")) {
		t.Error("a key is required though there are no customers")
	}
}

// Guards against requests of an urgent route being preempted, or refused, in favor of a less urgent
// route whose customer has a more urgent tier. Route tiers are compared first; customer tiers
// decide between routes of the same tier.
func TestUrgencyOrder(t *testing.T) {
	s := newTestSnapshot(1)
	first, second, plain := &Customer{Tier: intPtr(0)}, &Customer{Tier: intPtr(1)}, &Customer{}
	x, xy, root := s.Match("a.example", "/x/"), s.Match("a.example", "/x/y/"), s.Match("a.example", "/")
	order := []int{
		s.Urgency(x, first, 10), s.Urgency(x, second, 10),
		s.Urgency(xy, first, 10), s.Urgency(xy, second, 10),
		s.Urgency(root, first, 10), s.Urgency(root, second, 10), s.Urgency(root, plain, 10),
	}
	for i := 1; i < len(order); i++ {
		if order[i] <= order[i-1] {
			t.Fatalf("urgencies %v aren't in order", order)
		}
	}
	if s.Urgency(x, plain, 10) != s.Urgency(x, nil, 10) || s.Urgency(x, nil, 10) != s.Urgency(x, first, 10) {
		t.Error("a missing customer tier does not default to the route's tier")
	}
}

// Guards against route tiers sharing a level although there are enough levels for all of them. With
// more ranks than levels, the levels are assigned in order, and the last level is used.
func TestUrgencyWithMoreRanksThanLevels(t *testing.T) {
	var allRoutes []*Route
	var customers []*Customer
	for i := range 6 {
		allRoutes = append(allRoutes, &Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Tier: i})
		customers = append(customers, &Customer{Tier: intPtr(i)})
	}
	s := NewSnapshot(1, Limits{}, allRoutes, nil, Access{Customers: customers})
	last, lastOfTier := 0, -1
	for _, r := range allRoutes {
		for _, c := range customers {
			u := s.Urgency(r, c, 10)
			if u < last || u > 9 {
				t.Fatalf("urgency %d after %d", u, last)
			}
			if u == lastOfTier {
				t.Errorf("tier %d shares level %d with the previous one", r.Tier, u)
			}
			last = u
		}
		lastOfTier = last
	}
	if last != 9 {
		t.Errorf("the least urgent is at level %d of 9", last)
	}
}

// Guards against levels out of order, skipped or beyond the last when there are more route tiers
// than levels: neighboring tiers share a level.
func TestUrgencyWithMoreTiersThanLevels(t *testing.T) {
	var allRoutes []*Route
	for i := range 25 {
		allRoutes = append(allRoutes, &Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Tier: i})
	}
	s := NewSnapshot(1, Limits{}, allRoutes, nil, Access{WithoutKeys: true})
	last := 0
	for _, r := range allRoutes {
		u := s.Urgency(r, nil, 10)
		if u < last || u > last+1 {
			t.Fatalf("urgency %d after %d", u, last)
		}
		last = u
	}
	if last != 9 {
		t.Errorf("the least urgent is at level %d of 9", last)
	}
}

func TestHolderIgnoresOlderVersions(t *testing.T) {
	var h Holder
	if h.Current() != nil || h.Version() != 0 {
		t.Fatal("a new Holder has a snapshot")
	}
	h.Confirm(0, time.Hour)
	if h.ConfirmedAt() != 0 {
		t.Error("confirmed without a snapshot")
	}
	if !h.Update(newTestSnapshot(5), 10*time.Second) || h.Update(newTestSnapshot(4), 20*time.Second) || h.Update(newTestSnapshot(5), 15*time.Second) {
		t.Error("Update accepted a version that is not newer, or rejected a newer one")
	}
	if h.Version() != 5 || h.ConfirmedAt() != 15*time.Second {
		t.Errorf("version %d confirmed at %v", h.Version(), h.ConfirmedAt())
	}
	h.Confirm(4, time.Hour)
	h.Confirm(6, time.Hour)
	h.Confirm(5, 12*time.Second)
	if h.ConfirmedAt() != 15*time.Second {
		t.Errorf("confirmed at %v by another version or an earlier time", h.ConfirmedAt())
	}
	h.Confirm(5, 18*time.Second)
	if h.ConfirmedAt() != 18*time.Second {
		t.Errorf("confirmed at %v", h.ConfirmedAt())
	}
}

// Guards against a panic or another level where a desired state has no routes or customers.
func TestUrgencyWithoutRoutesOrCustomers(t *testing.T) {
	for name, s := range map[string]*Snapshot{
		"no customers": NewSnapshot(1, Limits{}, []*Route{{Host: "h", Prefix: "/", Tier: 3}}, nil, Access{}),
		"nothing":      NewSnapshot(1, Limits{}, nil, nil, Access{}),
	} {
		if got := s.Urgency(&Route{Tier: 3}, &Customer{Tier: intPtr(0)}, 10); got != 0 {
			t.Errorf("%s: urgency %d, want 0", name, got)
		}
	}
}

// Guards against an empty key of a customer that lets in requests without a key.
func TestEmptyKeyBelongsToNobody(t *testing.T) {
	s := NewSnapshot(1, Limits{}, nil, nil, Access{Customers: []*Customer{{Name: "c", Keys: []string{"", "k"}}}})
	if _, known := s.CustomerByKey(""); known {
		t.Error("the empty key is known")
	}
	if c, known := s.CustomerByKey("k"); !known || c.Name != "c" {
		t.Errorf("got customer %v, known %v", c, known)
	}
}
