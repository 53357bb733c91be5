package backend

import (
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func infos(ids ...string) []Info {
	var all []Info
	for _, id := range ids {
		all = append(all, Info{ID: id, Service: "s", Addr: id + ":1"})
	}
	return all
}

func listed(r *Registry) string {
	var ids []string
	for _, s := range r.Servers("s") {
		ids = append(ids, s.Info().ID)
	}
	return strings.Join(ids, " ")
}

func expect(t *testing.T, r *Registry, want string) {
	t.Helper()
	if got := listed(r); got != want {
		t.Errorf("listed %q, want %q", got, want)
	}
}

func TestWhatLeavesIsGoneAtOnce(t *testing.T) {
	r := NewRegistry()
	if r.Known() {
		t.Error("known before it was read")
	}
	r.Reset(start, infos("a", "b", "c"), nil)
	gone := ""
	r.Gone = func(id string) { gone += id }
	r.Change(start.Add(time.Second), infos("d"), []string{"b", "unheard of"}, nil)
	expect(t, r, "a c d")
	if gone != "b" {
		t.Errorf("told that %q is gone", gone)
	}
	r.Gone = nil
	// An entry that can't be read names no server.
	r.Reset(start.Add(2*time.Second), infos("a", "e"), []string{"c"})
	expect(t, r, "a e")
}

func TestCountsOutliveChanges(t *testing.T) {
	r := NewRegistry()
	r.Reset(start, infos("a"), nil)
	stay := r.Server("a").Load.Enter(3, (&policy.PrefillRate{}).Plan(start, 100, 100))
	leaving := infos("a")
	leaving[0].Leaving = true
	r.Change(start, leaving, nil, nil)
	if s := r.Server("a"); !s.Info().Leaving || s.Load.Counts(start).Pending[3].Tokens != 100 {
		t.Errorf("after a change: %+v, %+v", s.Info(), s.Load.Counts(start))
	}
	if !stay.Begun() || stay.Begun() {
		t.Error("an answer begins once")
	}
	if c := r.Server("a").Load.Counts(start); c.Running != 1 || c.Pending[3].Requests != 0 || c.Pending[3].Tokens != 0 {
		t.Errorf("running: %+v", c)
	}
	stay.Leave()
	if c := r.Server("a").Load.Counts(start); c != (Counts{}) {
		t.Errorf("left behind: %+v", c)
	}
}

// Entries lapse while the store is away; those of live servers are back two
// seconds after it.
func TestLapsedEntriesAreTrustedForAMoment(t *testing.T) {
	r := NewRegistry()
	r.Reset(start, infos("a", "b", "c"), nil)
	r.Unavailable()
	r.Sweep(start.Add(time.Minute))
	expect(t, r, "a b c")
	back := start.Add(time.Minute)
	r.Reset(back, infos("a"), nil)
	expect(t, r, "a b c")
	r.Change(back.Add(time.Second), infos("b"), nil, nil)
	r.Sweep(back.Add(lapseGrace - time.Millisecond))
	expect(t, r, "a b c")
	r.Sweep(back.Add(lapseGrace))
	expect(t, r, "a b")
	r.Change(back.Add(lapseGrace+time.Second), nil, []string{"a"}, nil)
	expect(t, r, "b")
}

// A server that said it leaves and is then gone has left, whatever the store
// went through.
func TestLeavingServersDoNotLapse(t *testing.T) {
	r := NewRegistry()
	all := infos("a", "b")
	all[0].Leaving = true
	r.Reset(start, all, nil)
	r.Unavailable()
	r.Reset(start.Add(time.Second), nil, nil)
	expect(t, r, "b")
}

// Its entry may be read again until the list has noticed.
func TestReplacedServersStayOut(t *testing.T) {
	r := NewRegistry()
	r.Reset(start, infos("a", "b"), nil)
	r.Replaced("a")
	r.Replaced("unheard of")
	expect(t, r, "b")
	r.Change(start, infos("a"), nil, nil)
	r.Reset(start, infos("a", "b", "c"), nil)
	expect(t, r, "b c")
	r.Change(start, nil, []string{"a"}, nil)
	r.Change(start, infos("a"), nil, nil)
	expect(t, r, "a b c")
}

// A server that starts again under its id holds nothing of before: what is counted
// there and what was learned of it goes, whichever of its fields tells.
func TestServerThatStartsAgainIsAnother(t *testing.T) {
	first := Info{ID: "a", Addr: "127.0.0.1:1", Service: "s", Slots: 4, Born: 1000, Sequence: 7}
	for name, c := range map[string]struct {
		was, is Info
		anew    bool
	}{
		"a later entry":             {first, with(first, func(i *Info) { i.Sequence, i.Leaving = 8, true }), false},
		"born later":                {first, with(first, func(i *Info) { i.Born, i.Sequence = 2000, 9 }), true},
		"counts anew, says no date": {with(first, func(i *Info) { i.Born = 0 }), with(first, func(i *Info) { i.Born, i.Sequence = 0, 1 }), true},
		"elsewhere, says no date":   {with(first, func(i *Info) { i.Born = 0 }), with(first, func(i *Info) { i.Born, i.Sequence, i.Addr = 0, 9, "127.0.0.1:2" }), true},
		"begins to say its date":    {with(first, func(i *Info) { i.Born = 0 }), with(first, func(i *Info) { i.Sequence = 8 }), false},
	} {
		r := NewRegistry()
		gone := ""
		r.Gone = func(id string) { gone += id }
		r.Reset(start, []Info{c.was}, nil)
		before := r.Server("a")
		stay := before.Load.Enter(3, policy.PrefillPlan{})
		r.Change(start.Add(time.Second), []Info{c.is}, nil, nil)
		after := r.Server("a")
		if anew := after != before; anew != c.anew || anew != (gone == "a") {
			t.Errorf("%s: another server %v, forgotten %q", name, anew, gone)
		}
		counts := after.Load.Counts(start.Add(time.Second))
		if left := counts.Pending[3].Requests; (left == 0) != c.anew {
			t.Errorf("%s: %d requests counted", name, left)
		}
		// What still runs at the start before ends there.
		stay.Leave()
		if *after.Info() != c.is {
			t.Errorf("%s: %+v", name, after.Info())
		}
	}
}

// News of an earlier start that comes late changes nothing.
func TestOldNewsOfAStartBefore(t *testing.T) {
	r := NewRegistry()
	is := Info{ID: "a", Addr: "127.0.0.1:1", Service: "s", Born: 2000, Sequence: 1}
	r.Reset(start, []Info{is}, nil)
	r.Change(start, []Info{with(is, func(i *Info) { i.Born, i.Sequence, i.Leaving = 1000, 9, true })}, nil, nil)
	if got := *r.Server("a").Info(); got != is {
		t.Errorf("%+v", got)
	}
}

// A replaced server that starts again under its id is used again.
func TestReplacedServerStartsAgain(t *testing.T) {
	r := NewRegistry()
	was := Info{ID: "a", Addr: "127.0.0.1:1", Service: "s", Born: 1000, Sequence: 7}
	r.Reset(start, []Info{was}, nil)
	r.Replaced("a")
	r.Change(start, []Info{with(was, func(i *Info) { i.Born, i.Sequence = 2000, 1 })}, nil, nil)
	if got := len(r.Servers("s")); got != 1 {
		t.Errorf("%d servers", got)
	}
}

func TestUnreadableEntriesNameNoServer(t *testing.T) {
	r := NewRegistry()
	r.Reset(start, infos("a", "b", "c"), nil)
	r.Change(start.Add(time.Second), nil, nil, []string{"b", "unheard of"})
	if got := r.Usable(); got != 2 || r.Server("b") != nil {
		t.Errorf("%d servers are usable after one entry of three became unreadable", got)
	}
	r.Reset(start.Add(2*time.Second), infos("a"), []string{"c"})
	if got := r.Usable(); got != 1 || r.Server("a") == nil {
		t.Errorf("%d servers are usable, one of two entries is readable", got)
	}
	r.Change(start.Add(3*time.Second), infos("b"), nil, nil)
	if r.Server("b") == nil {
		t.Error("an entry that is readable again names no server")
	}
}

func with(i Info, change func(*Info)) Info {
	change(&i)
	return i
}

// atAddr is an entry of a start at an address.
func atAddr(id, addr string, born int64) Info {
	return Info{ID: id, Addr: addr, Service: "s", Born: born}
}

// Servers that crash start again at their addresses long before their entries
// lapse: each gateway would send a request to each of them to find out.
func TestAddressBelongsToItsNewestStart(t *testing.T) {
	r := NewRegistry()
	r.Reset(start, []Info{atAddr("a", "10.0.0.1:1", 1000), atAddr("b", "10.0.0.2:1", 1000)}, nil)
	r.Change(start, []Info{atAddr("c", "10.0.0.1:1", 2000)}, nil, nil)
	expect(t, r, "b c")
	if r.Server("a") == nil {
		t.Error("the start before is forgotten, though it is still listed")
	}
	// Entries in any order, all at once.
	r = NewRegistry()
	r.Reset(start, []Info{atAddr("c", "10.0.0.1:1", 2000), atAddr("a", "10.0.0.1:1", 1000)}, nil)
	expect(t, r, "c")
	// The address may go to another service.
	other := atAddr("d", "10.0.0.1:1", 3000)
	other.Service = "other"
	r.Change(start, []Info{other}, nil, nil)
	expect(t, r, "")
	// Whose start isn't told takes nobody's address, and loses its own to nobody.
	r.Change(start, []Info{atAddr("e", "10.0.0.2:1", 0), atAddr("f", "10.0.0.2:1", 4000)}, nil, nil)
	expect(t, r, "e f")
}

// An entry that claims another server's address, and isn't met there, doesn't
// keep that one out.
func TestFalseClaimOfAnAddress(t *testing.T) {
	r := NewRegistry()
	r.Reset(start, []Info{atAddr("a", "10.0.0.1:1", 1000)}, nil)
	r.Change(start, []Info{atAddr("false", "10.0.0.1:1", 2000)}, nil, nil)
	expect(t, r, "false")
	r.Replaced("false")
	expect(t, r, "a")
}
