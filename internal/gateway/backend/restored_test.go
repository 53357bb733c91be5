package backend

import (
	"testing"
	"time"
)

// entry is a server's entry with a sequence number.
func entry(id string, sequence int64, leaving bool) Info {
	i := infos(id)[0]
	i.Sequence, i.Leaving = sequence, leaving
	return i
}

// An older copy of the list says of a server that it is ready which drains, of one that it
// is there which is gone, and nothing of one that has started since.
func TestOlderCopyOfTheListIsNoNews(t *testing.T) {
	r := NewRegistry()
	r.Reset(start, []Info{entry("drains", 4, true), entry("gone", 4, false), entry("new", 1, false)}, nil)
	r.Change(start.Add(10*time.Second), nil, []string{"gone"}, nil)

	back := start.Add(11 * time.Second)
	r.Restored(back)
	r.Reset(back, []Info{entry("drains", 3, false), entry("gone", 4, false)}, nil)
	expect(t, r, "drains new")
	if !r.Server("drains").Info().Leaving {
		t.Error("a server that drains is ready again")
	}
	// One that was taken for gone wrongly writes again, and so does one that started since.
	r.Change(back.Add(time.Second), []Info{entry("gone", 5, false), entry("new", 2, false)}, nil, nil)
	expect(t, r, "drains gone new")
	r.Sweep(back.Add(2 * lapseGrace))
	expect(t, r, "drains gone new")
}

// A server that hasn't written its entry again in time is gone.
func TestServerThatDoesNotWriteAgainIsGone(t *testing.T) {
	r := NewRegistry()
	r.Reset(start, []Info{entry("a", 1, false), entry("b", 1, false)}, nil)
	r.Restored(start.Add(time.Minute))
	r.Reset(start.Add(time.Minute), []Info{entry("a", 1, false)}, nil)
	expect(t, r, "a b")
	r.Sweep(start.Add(time.Minute + lapseGrace))
	expect(t, r, "a")
}

// A later start under the same id isn't held for an older copy's.
func TestLaterStartIsNewsAfterAReturn(t *testing.T) {
	r := NewRegistry()
	first := entry("a", 7, false)
	first.Born = 1000
	r.Reset(start, []Info{first}, nil)
	r.Restored(start)
	later := entry("a", 1, false)
	later.Born = 2000
	r.Change(start, []Info{later}, nil, nil)
	if got := r.Server("a").Info().Born; got != 2000 {
		t.Errorf("the start at %d is listed", got)
	}
}

// What is kept of servers that are gone is bounded in number and time.
func TestTombstonesAreBounded(t *testing.T) {
	p := tombstones{}
	for i := range int64(2 * maxTombstones) {
		e := entry(time.Duration(i).String(), 1, false)
		p.add(start, &e)
	}
	if len(p) != maxTombstones {
		t.Errorf("%d entries are kept", len(p))
	}
	e := entry("late", 1, false)
	p.add(start.Add(2*tombstoneLife), &e)
	if len(p) != 1 || !p.has(start.Add(2*tombstoneLife), &e) {
		t.Errorf("%d entries are kept after their time", len(p))
	}
	if p.has(start.Add(4*tombstoneLife), &e) {
		t.Error("an entry counts long after its time")
	}
}
