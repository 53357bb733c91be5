package routes

import (
	"fmt"
	"testing"
	"time"
)

func tier(n int) *int { return &n }

func testSet(version uint64) *Set {
	all := []*Route{
		{Name: "root", Host: "a.example", Prefix: "/", Tier: 2, Shares: []Share{{Service: "s", Weight: 1}}},
		{Name: "x", Host: "A.example", Prefix: "/x/", Tier: 0, Shares: []Share{{Service: "s", Weight: 1}}},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/", Tier: 1, Public: true, Shares: []Share{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
	}
	customers := []*Customer{{Name: "first", Tier: tier(0), Keys: []string{"k0"}}, {Name: "second", Tier: tier(1), Keys: []string{"k1", "k2"}}, {Name: "plain", Keys: []string{"k3"}}}
	return NewSet(version, Limits{}, all, nil, customers)
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	s := testSet(1)
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

func TestShares(t *testing.T) {
	r := testSet(1).Match("a.example", "/x/y/")
	count := map[string]int{}
	for i := range uint64(1000) {
		count[r.Service(i)]++
	}
	if count["s"] != 900 || count["t"] != 100 {
		t.Errorf("shares %v", count)
	}
	zero := Route{Shares: []Share{{Service: "a"}, {Service: "b", Weight: -3}}}
	if zero.Service(7) != "a" {
		t.Error("shares without weight have no service")
	}
}

func TestKeys(t *testing.T) {
	s := testSet(1)
	if c, ok := s.Customer("k2"); !ok || c.Name != "second" {
		t.Errorf("k2 is held by %+v", c)
	}
	if _, ok := s.Customer(""); ok {
		t.Error("no key is held by a customer")
	}
	if !s.NeedsKey(s.Match("a.example", "/")) || s.NeedsKey(s.Match("a.example", "/x/y/")) {
		t.Error("public routes need no key, others do")
	}
	open := NewSet(1, Limits{}, []*Route{{Host: "h", Prefix: "/"}}, nil, nil)
	if open.NeedsKey(open.Match("h", "/")) {
		t.Error("a key is needed where there are none")
	}
}

// Guards against requests of an urgent class being preempted, or refused, for those of a less
// urgent one whose customer has a higher tier. Routes' tiers go first, the customers' decide
// among equals.
func TestUrgencyOrder(t *testing.T) {
	s := testSet(1)
	first, second, plain := &Customer{Tier: tier(0)}, &Customer{Tier: tier(1)}, &Customer{}
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
		t.Error("without a customer's tier the route's stands for it")
	}
}

// Where there are more ranks than levels, these are in order and all used, and no two routes'
// tiers share one.
func TestUrgencyFitsTheLevels(t *testing.T) {
	var all []*Route
	var customers []*Customer
	for i := range 6 {
		all = append(all, &Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Tier: i})
		customers = append(customers, &Customer{Tier: tier(i)})
	}
	s := NewSet(1, Limits{}, all, nil, customers)
	last, lastOfRoute := 0, -1
	for _, r := range all {
		for _, c := range customers {
			u := s.Urgency(r, c, 10)
			if u < last || u > 9 {
				t.Fatalf("urgency %d after %d", u, last)
			}
			if u == lastOfRoute {
				t.Errorf("tier %d shares level %d with the one before", r.Tier, u)
			}
			last = u
		}
		lastOfRoute = last
	}
	if last != 9 {
		t.Errorf("the least urgent is at level %d of 9", last)
	}
}

// More routes' tiers than levels share them in order.
func TestMoreTiersThanLevelsShareThem(t *testing.T) {
	var all []*Route
	for i := range 25 {
		all = append(all, &Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Tier: i})
	}
	s := NewSet(1, Limits{}, all, nil, nil)
	last := 0
	for _, r := range all {
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

func TestHolderNeverGoesBack(t *testing.T) {
	var h Holder
	if h.Current() != nil || h.Version() != 0 {
		t.Fatal("a new holder knows a state")
	}
	h.Prove(0, time.Hour)
	if h.ProvenAt() != 0 {
		t.Error("no state is proved")
	}
	if !h.Offer(testSet(5), 10*time.Second) || h.Offer(testSet(4), 20*time.Second) || h.Offer(testSet(5), 15*time.Second) {
		t.Error("only a newer version is news")
	}
	if h.Version() != 5 || h.ProvenAt() != 15*time.Second {
		t.Errorf("version %d proved at %v", h.Version(), h.ProvenAt())
	}
	h.Prove(4, time.Hour)
	h.Prove(6, time.Hour)
	h.Prove(5, 12*time.Second)
	if h.ProvenAt() != 15*time.Second {
		t.Errorf("proved at %v by another version, or backwards", h.ProvenAt())
	}
	h.Prove(5, 18*time.Second)
	if h.ProvenAt() != 18*time.Second {
		t.Errorf("proved at %v", h.ProvenAt())
	}
}
