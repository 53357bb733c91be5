package backend

import (
	"testing"
	"time"
)

// entryWithSequence returns a server's entry with a sequence number.
func entryWithSequence(id string, sequence int64, draining bool) Info {
	i := testEntries(id)[0]
	i.Sequence, i.Draining = sequence, draining
	return i
}

// Guards against applying an older copy of the list after the store was restored from it. The copy
// shows a draining server as ready and a removed one as listed, and lacks one that started since.
func TestRestoredOlderListIsIgnored(t *testing.T) {
	r := NewRegistry()
	r.ReplaceAll(testStart, []Info{entryWithSequence("drains", 4, true), entryWithSequence("gone", 4, false), entryWithSequence("new", 1, false)}, nil)
	r.ApplyChanges(testStart.Add(10*time.Second), nil, []string{"gone"}, nil)

	storeBack := testStart.Add(11 * time.Second)
	r.MarkStoreRestored(storeBack)
	r.ReplaceAll(storeBack, []Info{entryWithSequence("drains", 3, false), entryWithSequence("gone", 4, false)}, nil)
	expectListed(t, r, "drains new")
	if !r.Server("drains").Info().Draining {
		t.Error("a draining server is ready again")
	}
	// The removed server turns out to be alive and writes its entry again, as does the new one.
	r.ApplyChanges(storeBack.Add(time.Second), []Info{entryWithSequence("gone", 5, false), entryWithSequence("new", 2, false)}, nil, nil)
	expectListed(t, r, "drains gone new")
	r.Sweep(storeBack.Add(2 * expiryGrace))
	expectListed(t, r, "drains gone new")
}

// Guards against keeping a server forever that does not rewrite its entry after the store was
// restored.
func TestServerMissingAfterRestoreIsRemoved(t *testing.T) {
	r := NewRegistry()
	r.ReplaceAll(testStart, []Info{entryWithSequence("a", 1, false), entryWithSequence("b", 1, false)}, nil)
	r.MarkStoreRestored(testStart.Add(time.Minute))
	r.ReplaceAll(testStart.Add(time.Minute), []Info{entryWithSequence("a", 1, false)}, nil)
	expectListed(t, r, "a b")
	r.Sweep(testStart.Add(time.Minute + expiryGrace))
	expectListed(t, r, "a")
}

// Guards against ignoring a new instance under the same ID while the list may be an older copy.
func TestNewInstanceAcceptedAfterRestore(t *testing.T) {
	r := NewRegistry()
	first := entryWithSequence("a", 7, false)
	first.StartUnixMilli = 1000
	r.ReplaceAll(testStart, []Info{first}, nil)
	r.MarkStoreRestored(testStart)
	later := entryWithSequence("a", 1, false)
	later.StartUnixMilli = 2000
	r.ApplyChanges(testStart, []Info{later}, nil, nil)
	if got := r.Server("a").Info().StartUnixMilli; got != 2000 {
		t.Errorf("the instance started at %d is listed", got)
	}
}

// Guards against unbounded growth: tombstones are limited in number and age.
func TestTombstonesAreBounded(t *testing.T) {
	ts := tombstones{}
	for i := range int64(2 * maxTombstones) {
		e := entryWithSequence(time.Duration(i).String(), 1, false)
		ts.add(testStart, &e)
	}
	if len(ts) != maxTombstones {
		t.Errorf("%d tombstones are kept", len(ts))
	}
	e := entryWithSequence("late", 1, false)
	ts.add(testStart.Add(2*tombstoneTTL), &e)
	if len(ts) != 1 || !ts.supersedes(testStart.Add(2*tombstoneTTL), &e) {
		t.Errorf("%d tombstones are kept after expiry", len(ts))
	}
	if ts.supersedes(testStart.Add(4*tombstoneTTL), &e) {
		t.Error("an expired tombstone still applies")
	}
}
