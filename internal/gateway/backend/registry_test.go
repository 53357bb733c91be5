package backend

import (
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testEntries(ids ...string) []Info {
	var all []Info
	for _, id := range ids {
		all = append(all, Info{ID: id, Service: "s", Addr: id + ":1"})
	}
	return all
}

func listedIDs(r *Registry) string {
	var ids []string
	for _, s := range r.Servers("s") {
		ids = append(ids, s.Info().ID)
	}
	return strings.Join(ids, " ")
}

func expectListed(t *testing.T, r *Registry, want string) {
	t.Helper()
	if got := listedIDs(r); got != want {
		t.Errorf("listed %q, want %q", got, want)
	}
}

func TestRemovedEntriesDisappearImmediately(t *testing.T) {
	r := NewRegistry()
	if r.Loaded() {
		t.Error("loaded before the list was read")
	}
	r.ReplaceAll(testStart, testEntries("a", "b", "c"), nil)
	removed := ""
	r.OnRemove = func(id string) { removed += id }
	r.ApplyChanges(testStart.Add(time.Second), testEntries("d"), []string{"b", "unheard of"}, nil)
	expectListed(t, r, "a c d")
	if removed != "b" {
		t.Errorf("OnRemove called for %q", removed)
	}
	r.OnRemove = nil
	// A server whose entry is unreadable is removed.
	r.ReplaceAll(testStart.Add(2*time.Second), testEntries("a", "e"), []string{"c"})
	expectListed(t, r, "a e")
}

func TestLoadCountsSurviveEntryChanges(t *testing.T) {
	r := NewRegistry()
	r.ReplaceAll(testStart, testEntries("a"), nil)
	inFlight := r.Server("a").Load.Track(3, (&policy.PrefillRate{}).Plan(testStart, 100, 100))
	draining := testEntries("a")
	draining[0].Draining = true
	r.ApplyChanges(testStart, draining, nil, nil)
	if s := r.Server("a"); !s.Info().Draining || s.Load.Counts(testStart).Pending[3].Tokens != 100 {
		t.Errorf("after a change: %+v, %+v", s.Info(), s.Load.Counts(testStart))
	}
	if !inFlight.MarkStarted() || inFlight.MarkStarted() {
		t.Error("MarkStarted must return true on the first call and false on the second")
	}
	if c := r.Server("a").Load.Counts(testStart); c.Running != 1 || c.Pending[3].Requests != 0 || c.Pending[3].Tokens != 0 {
		t.Errorf("after the response started: %+v", c)
	}
	inFlight.Finish()
	if c := r.Server("a").Load.Counts(testStart); c != (Counts{}) {
		t.Errorf("counts after Finish: %+v", c)
	}
}

// Guards against dropping live servers after a store outage. Their entries expire during the outage
// and are renewed within two seconds after it.
func TestExpiredEntriesKeptDuringGracePeriod(t *testing.T) {
	r := NewRegistry()
	r.ReplaceAll(testStart, testEntries("a", "b", "c"), nil)
	r.MarkStoreUnavailable()
	r.Sweep(testStart.Add(time.Minute))
	expectListed(t, r, "a b c")
	storeBack := testStart.Add(time.Minute)
	r.ReplaceAll(storeBack, testEntries("a"), nil)
	expectListed(t, r, "a b c")
	r.ApplyChanges(storeBack.Add(time.Second), testEntries("b"), nil, nil)
	r.Sweep(storeBack.Add(expiryGrace - time.Millisecond))
	expectListed(t, r, "a b c")
	r.Sweep(storeBack.Add(expiryGrace))
	expectListed(t, r, "a b")
	r.ApplyChanges(storeBack.Add(expiryGrace+time.Second), nil, []string{"a"}, nil)
	expectListed(t, r, "b")
}

// Guards against keeping a draining server: when its entry disappears, it is removed at once, even
// after a store outage.
func TestDrainingServersGetNoGracePeriod(t *testing.T) {
	r := NewRegistry()
	entries := testEntries("a", "b")
	entries[0].Draining = true
	r.ReplaceAll(testStart, entries, nil)
	r.MarkStoreUnavailable()
	r.ReplaceAll(testStart.Add(time.Second), nil, nil)
	expectListed(t, r, "b")
}

// Guards against using a replaced server again: its entry may be read again until the list catches
// up.
func TestReplacedServersStayExcluded(t *testing.T) {
	r := NewRegistry()
	r.ReplaceAll(testStart, testEntries("a", "b"), nil)
	r.MarkReplaced("a")
	r.MarkReplaced("unheard of")
	expectListed(t, r, "b")
	r.ApplyChanges(testStart, testEntries("a"), nil, nil)
	r.ReplaceAll(testStart, testEntries("a", "b", "c"), nil)
	expectListed(t, r, "b c")
	r.ApplyChanges(testStart, nil, []string{"a"}, nil)
	r.ApplyChanges(testStart, testEntries("a"), nil, nil)
	expectListed(t, r, "a b c")
}

// Guards against carrying counts and learned data over to a server that restarted under the same
// ID, whichever field of its entry shows the restart.
func TestRestartedServerIsNewInstance(t *testing.T) {
	first := Info{ID: "a", Addr: "127.0.0.1:1", Service: "s", Slots: 4, StartUnixMilli: 1000, Sequence: 7}
	for name, c := range map[string]struct {
		before, after Info
		isNew         bool
	}{
		"later entry":                   {first, modified(first, func(i *Info) { i.Sequence, i.Draining = 8, true }), false},
		"later start time":              {first, modified(first, func(i *Info) { i.StartUnixMilli, i.Sequence = 2000, 9 }), true},
		"lower sequence, no start time": {modified(first, func(i *Info) { i.StartUnixMilli = 0 }), modified(first, func(i *Info) { i.StartUnixMilli, i.Sequence = 0, 1 }), true},
		"other address, no start time":  {modified(first, func(i *Info) { i.StartUnixMilli = 0 }), modified(first, func(i *Info) { i.StartUnixMilli, i.Sequence, i.Addr = 0, 9, "127.0.0.1:2" }), true},
		"start time appears":            {modified(first, func(i *Info) { i.StartUnixMilli = 0 }), modified(first, func(i *Info) { i.Sequence = 8 }), false},
	} {
		r := NewRegistry()
		removed := ""
		r.OnRemove = func(id string) { removed += id }
		r.ReplaceAll(testStart, []Info{c.before}, nil)
		before := r.Server("a")
		inFlight := before.Load.Track(3, policy.PrefillPlan{})
		r.ApplyChanges(testStart.Add(time.Second), []Info{c.after}, nil, nil)
		after := r.Server("a")
		if isNew := after != before; isNew != c.isNew || isNew != (removed == "a") {
			t.Errorf("%s: new server %v, removed %q", name, isNew, removed)
		}
		counts := after.Load.Counts(testStart.Add(time.Second))
		if left := counts.Pending[3].Requests; (left == 0) != c.isNew {
			t.Errorf("%s: %d pending requests", name, left)
		}
		// Requests still running at the earlier instance finish on its own Load.
		inFlight.Finish()
		if *after.Info() != c.after {
			t.Errorf("%s: %+v", name, after.Info())
		}
	}
}

// Guards against a late entry of an earlier instance overwriting the current one.
func TestEntryOfEarlierInstanceIsIgnored(t *testing.T) {
	r := NewRegistry()
	current := Info{ID: "a", Addr: "127.0.0.1:1", Service: "s", StartUnixMilli: 2000, Sequence: 1}
	r.ReplaceAll(testStart, []Info{current}, nil)
	r.ApplyChanges(testStart, []Info{modified(current, func(i *Info) { i.StartUnixMilli, i.Sequence, i.Draining = 1000, 9, true })}, nil, nil)
	if got := *r.Server("a").Info(); got != current {
		t.Errorf("%+v", got)
	}
}

// Guards against excluding a replaced server after it has restarted under the same ID.
func TestReplacedServerReturnsAfterRestart(t *testing.T) {
	r := NewRegistry()
	before := Info{ID: "a", Addr: "127.0.0.1:1", Service: "s", StartUnixMilli: 1000, Sequence: 7}
	r.ReplaceAll(testStart, []Info{before}, nil)
	r.MarkReplaced("a")
	r.ApplyChanges(testStart, []Info{modified(before, func(i *Info) { i.StartUnixMilli, i.Sequence = 2000, 1 })}, nil, nil)
	if got := len(r.Servers("s")); got != 1 {
		t.Errorf("%d servers", got)
	}
}

func TestUnreadableEntriesRemoveServers(t *testing.T) {
	r := NewRegistry()
	r.ReplaceAll(testStart, testEntries("a", "b", "c"), nil)
	r.ApplyChanges(testStart.Add(time.Second), nil, nil, []string{"b", "unheard of"})
	if got := r.CountUsable(); got != 2 || r.Server("b") != nil {
		t.Errorf("%d servers are usable after one entry of three became unreadable", got)
	}
	r.ReplaceAll(testStart.Add(2*time.Second), testEntries("a"), []string{"c"})
	if got := r.CountUsable(); got != 1 || r.Server("a") == nil {
		t.Errorf("%d servers are usable, one of two entries is readable", got)
	}
	r.ApplyChanges(testStart.Add(3*time.Second), testEntries("b"), nil, nil)
	if r.Server("b") == nil {
		t.Error("the server of an entry that is readable again is not listed")
	}
}

func modified(i Info, change func(*Info)) Info {
	change(&i)
	return i
}

// entryAt returns the entry of an instance at an address.
func entryAt(id, addr string, startMillis int64) Info {
	return Info{ID: id, Addr: addr, Service: "s", StartUnixMilli: startMillis}
}

// Guards against sending requests to crashed servers: they restart at their addresses long before
// their old entries expire, and each gateway would send one request to each old entry to find out.
func TestNewestInstanceOwnsAddress(t *testing.T) {
	r := NewRegistry()
	r.ReplaceAll(testStart, []Info{entryAt("a", "10.0.0.1:1", 1000), entryAt("b", "10.0.0.2:1", 1000)}, nil)
	r.ApplyChanges(testStart, []Info{entryAt("c", "10.0.0.1:1", 2000)}, nil, nil)
	expectListed(t, r, "b c")
	if r.Server("a") == nil {
		t.Error("the earlier instance is removed, though it is still listed")
	}
	// All entries at once, the newest first.
	r = NewRegistry()
	r.ReplaceAll(testStart, []Info{entryAt("c", "10.0.0.1:1", 2000), entryAt("a", "10.0.0.1:1", 1000)}, nil)
	expectListed(t, r, "c")
	// The address may move to another service.
	other := entryAt("d", "10.0.0.1:1", 3000)
	other.Service = "other"
	r.ApplyChanges(testStart, []Info{other}, nil, nil)
	expectListed(t, r, "")
	// An instance without a start time neither excludes another at its address nor is excluded.
	r.ApplyChanges(testStart, []Info{entryAt("e", "10.0.0.2:1", 0), entryAt("f", "10.0.0.2:1", 4000)}, nil, nil)
	expectListed(t, r, "e f")
}

// Guards against an entry with a wrong address excluding the server at that address for good. Once
// the gateway finds that another instance responds there, the server must be used again.
func TestWrongAddressIsCorrected(t *testing.T) {
	r := NewRegistry()
	r.ReplaceAll(testStart, []Info{entryAt("a", "10.0.0.1:1", 1000)}, nil)
	r.ApplyChanges(testStart, []Info{entryAt("false", "10.0.0.1:1", 2000)}, nil, nil)
	expectListed(t, r, "false")
	r.MarkReplaced("false")
	expectListed(t, r, "a")
}

// Guards against removing servers after two outages in a row: in the second one they could not renew
// their entries either, so the grace period begins again.
func TestSecondOutageExtendsGracePeriod(t *testing.T) {
	r := NewRegistry()
	r.ReplaceAll(testStart, testEntries("a", "b"), nil)
	r.MarkStoreUnavailable()
	first := testStart.Add(time.Minute)
	r.ReplaceAll(first, testEntries("a"), nil)
	r.MarkStoreUnavailable()
	second := first.Add(10 * time.Second)
	r.MarkStoreAvailable(second)
	r.Sweep(second.Add(expiryGrace - time.Millisecond))
	expectListed(t, r, "a b")
	r.Sweep(second.Add(expiryGrace))
	expectListed(t, r, "a")
}

// Guards against handing over servers that are known to be gone: those of which the entry has expired, and
// those at whose address another instance responds.
func TestEntriesLeaveOutServersThatAreGone(t *testing.T) {
	r := NewRegistry()
	r.ReplaceAll(testStart, testEntries("a", "b", "c"), nil)
	r.MarkReplaced("b")
	r.MarkStoreUnavailable()
	r.ReplaceAll(testStart.Add(time.Second), testEntries("a", "b"), nil)
	if got := r.Entries(); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("got %+v, want the entry of a", got)
	}
}
