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
		g := NewAggregate()
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
	g, from := NewAggregate(), Source{Gateway: "a", Start: 1}
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
	g := NewAggregate()
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
	g := NewAggregate()
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
	restored := NewAggregate()
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
