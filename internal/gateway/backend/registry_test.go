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
	r.Change(start.Add(time.Second), infos("d"), []string{"b", "unheard of"})
	expect(t, r, "a c d")
	if gone != "b" {
		t.Errorf("told that %q is gone", gone)
	}
	r.Gone = nil
	r.Reset(start.Add(2*time.Second), infos("a", "e"), []string{"c"})
	expect(t, r, "a c e")
}

func TestCountsOutliveChanges(t *testing.T) {
	r := NewRegistry()
	r.Reset(start, infos("a"), nil)
	stay := r.Server("a").Load.Enter(3, (&policy.ReadingRate{}).Plan(start, 100, 100))
	leaving := infos("a")
	leaving[0].Leaving = true
	r.Change(start, leaving, nil)
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
	r.Change(back.Add(time.Second), infos("b"), nil)
	r.Sweep(back.Add(lapseGrace - time.Millisecond))
	expect(t, r, "a b c")
	r.Sweep(back.Add(lapseGrace))
	expect(t, r, "a b")
	r.Change(back.Add(lapseGrace+time.Second), nil, []string{"a"})
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
	r.Change(start, infos("a"), nil)
	r.Reset(start, infos("a", "b", "c"), nil)
	expect(t, r, "b c")
	r.Change(start, nil, []string{"a"})
	r.Change(start, infos("a"), nil)
	expect(t, r, "a b c")
}
