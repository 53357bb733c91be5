package usage

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	fiveSeconds = Windows{Length: 5 * time.Second}
	noon        = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
)

// inWindow is a clock that stands in a window.
func inWindow(number uint64) func() time.Time {
	return func() time.Time { return fiveSeconds.End(number).Add(-time.Second) }
}

func TestWindowsAreNumberedFrom1970(t *testing.T) {
	at := time.Unix(353445120*5, 0)
	if got := fiveSeconds.Number(at.Add(time.Second)); got != 353445120 {
		t.Errorf("window %d", got)
	}
	if got := fiveSeconds.End(353445120); !got.Equal(at.Add(5 * time.Second)) {
		t.Errorf("it ends at %v", got)
	}
}

// Updates that are lost, doubled, late or too large for a datagram leave the receiver with
// what was counted, once one has come that tells all.
func TestUpdatesConvergeWhateverBecomesOfThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := noon
		c := NewCounter(fiveSeconds, func() time.Time { return now })
		g := NewAggregate(fiveSeconds, func() time.Time { return now })
		from := Source{Gateway: "a", Start: 1}
		want := map[countKey]int64{}
		var sent []Update
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				customer := fmt.Sprint("c-", rapid.IntRange(0, 5).Draw(t, "customer"))
				c.Began(customer)
				want[countKey{fiveSeconds.Number(now), customer}]++
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 7000).Draw(t, "ms")) * time.Millisecond)
			case 3:
				sent = append(sent, c.Update(g.Sequence(from)))
			case 4:
				if len(sent) > 0 {
					g.Merge(now, from, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")])
				}
			}
		}
		g.Merge(now, from, c.Update(g.Sequence(from)))
		newest := fiveSeconds.Number(now)
		maps.DeleteFunc(want, func(k countKey, _ int64) bool { return k.window+maxWindows < newest })
		for key, n := range want {
			if got := g.Sum(key.window)[key.customer]; got != n {
				t.Fatalf("%d of %v, counted %d", got, key, n)
			}
		}
		if missing := g.Missing(time.Time{}, now); len(missing) > 0 {
			t.Errorf("%v are missing", missing)
		}
	})
}

// An update of which only a part fits says so, and the next ones tell the rest.
func TestLargeUpdatesComeInParts(t *testing.T) {
	c := NewCounter(fiveSeconds, func() time.Time { return noon })
	for i := range 2*maxCounts + 7 {
		c.Began(fmt.Sprint("customer-", i))
	}
	g, from := NewAggregate(fiveSeconds, func() time.Time { return noon }), Source{Gateway: "a", Start: 1}
	for parts := 1; ; parts++ {
		u := c.Update(g.Sequence(from))
		g.Merge(noon, from, u)
		if u.Upto != 0 {
			if parts != 3 {
				t.Errorf("%d parts", parts)
			}
			break
		}
		if len(g.Missing(time.Time{}, noon)) != 1 {
			t.Error("complete after a part")
		}
	}
	if got := len(g.Sum(fiveSeconds.Number(noon))); got != 2*maxCounts+7 {
		t.Errorf("%d customers", got)
	}
}

// Counts of an earlier start of a gateway are added to those of the later one, and
// only the later one is waited for.
func TestLaterStartIsWaitedFor(t *testing.T) {
	g := NewAggregate(fiveSeconds, inWindow(7))
	counts := []Count{{Window: 7, Customer: "a", Requests: 3}}
	g.Merge(noon, Source{Gateway: "x", Start: 1}, Update{Sequence: 3, Upto: 100, Counts: counts})
	g.Merge(noon, Source{Gateway: "x", Start: 2}, Update{Sequence: 3, Upto: 900, Counts: counts})
	if got := g.Sum(7)["a"]; got != 6 {
		t.Errorf("%d requests", got)
	}
	if missing := g.Missing(time.UnixMilli(0), time.UnixMilli(500)); len(missing) != 0 {
		t.Errorf("%v are waited for", missing)
	}
	if missing := g.Missing(time.UnixMilli(600), time.UnixMilli(1000)); len(missing) != 1 {
		t.Errorf("%v are waited for, one has sent a part", missing)
	}
	// One whose last update is before the window is gone, or had nothing.
	if missing := g.Missing(time.UnixMilli(1000), time.UnixMilli(1500)); len(missing) != 0 {
		t.Errorf("%v are waited for", missing)
	}
	g.Expire(noon.Add(2*forgetSource), 7)
	if len(g.sources)+len(g.latest) != 0 {
		t.Error("sources are kept without an update for a minute")
	}
}

// A checkpoint holds all that isn't reported, in rows that the store takes.
func TestCheckpointsAreWhole(t *testing.T) {
	const gateways, customers = 68, 400
	g := NewAggregate(fiveSeconds, inWindow(5))
	for i := range gateways {
		var counts []Count
		for c := range customers {
			counts = append(counts, Count{Window: 5, Customer: fmt.Sprintf("customer-%03d", c), Requests: 1})
		}
		g.Merge(noon, Source{Gateway: fmt.Sprint("gateway-", i), Start: uint64(i) << 50}, Update{Counts: counts})
	}
	rows, err := g.checkpoint(4)
	if err != nil {
		t.Fatal(err)
	}
	restored := NewAggregate(fiveSeconds, inWindow(5))
	for _, w := range countWrites(rows, 0) {
		if len(w.Value) > maxRowBytes*4/3 {
			t.Errorf("row of %d bytes", len(w.Value))
		}
		if err := restored.restore(rowsOf(w.Value)); err != nil {
			t.Fatal(err)
		}
	}
	if got := restored.Sum(5); len(got) != customers || got["customer-007"] != gateways {
		t.Errorf("%d customers, %d of one", len(got), got["customer-007"])
	}
	if writes := countWrites(nil, len(rows)); len(writes) != len(rows) || writes[0].Value != nil {
		t.Error("rows of before aren't emptied")
	}
	if rows, err := g.checkpoint(5); err != nil || len(rows) != 1 {
		t.Errorf("%d rows of what is reported, %v", len(rows), err)
	}
}

// A gateway that only receives updates, and never reports, keeps a bounded part of them.
func TestAggregateIsBounded(t *testing.T) {
	now := noon
	g := NewAggregate(fiveSeconds, func() time.Time { return now })
	first := fiveSeconds.Number(noon)
	for i := range uint64(500) {
		now = now.Add(5 * time.Second)
		from := Source{Gateway: fmt.Sprint("gateway-", i%3), Start: i / 50}
		g.Merge(now, from, Update{Sequence: i, Upto: now.UnixMilli(), Counts: []Count{{Window: first + i, Customer: "a", Requests: 1}}})
	}
	counts := 0
	for _, s := range g.sources {
		counts += len(s.counts)
	}
	if counts == 0 || counts > maxWindows+1 || len(g.sources) > 6 || len(g.latest) != 3 {
		t.Errorf("%d counts of %d sources, %d gateways", counts, len(g.sources), len(g.latest))
	}
}

// A gateway whose clock is hours off, until it hears of the others, takes no counts of theirs
// away.
func TestWrongClockLosesNoCounts(t *testing.T) {
	g := NewAggregate(fiveSeconds, inWindow(5000))
	g.Merge(noon, Source{Gateway: "right", Start: 1}, Update{Counts: []Count{{Window: 5000, Customer: "a", Requests: 3}}})
	g.Merge(noon, Source{Gateway: "wrong", Start: 1}, Update{Counts: []Count{{Window: 9000, Customer: "a", Requests: 1}, {Window: 100, Customer: "a", Requests: 1}}})
	g.Merge(noon, Source{Gateway: "right", Start: 1}, Update{Counts: []Count{{Window: 5001, Customer: "a", Requests: 1}}})
	if g.Sum(5000)["a"] != 3 || g.Sum(5001)["a"] != 1 || len(g.Sum(9000))+len(g.Sum(100)) != 0 {
		t.Errorf("%v, %v, %v, %v", g.Sum(5000), g.Sum(5001), g.Sum(9000), g.Sum(100))
	}
}
