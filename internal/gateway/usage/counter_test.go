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
func clockInWindow(number uint64) func() time.Time {
	return func() time.Time { return fiveSeconds.End(number).Add(-time.Second) }
}

func TestWindowsNumberedFromUnixEpoch(t *testing.T) {
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
func TestUpdatesConvergeAfterLossDuplicationAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := noon
		counter := NewCounter(fiveSeconds, func() time.Time { return now })
		aggregate := NewAggregate(fiveSeconds, func() time.Time { return now })
		from := Source{Gateway: "a", Start: 1}
		want := map[countKey]int64{}
		var sent []Update
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				customer := fmt.Sprint("c-", rapid.IntRange(0, 5).Draw(t, "customer"))
				counter.Began(customer)
				want[countKey{fiveSeconds.Number(now), customer}]++
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 7000).Draw(t, "ms")) * time.Millisecond)
			case 3:
				sent = append(sent, counter.Update(aggregate.Sequence(from)))
			case 4:
				if len(sent) > 0 {
					aggregate.Merge(now, from, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")])
				}
			}
		}
		aggregate.Merge(now, from, counter.Update(aggregate.Sequence(from)))
		newest := fiveSeconds.Number(now)
		maps.DeleteFunc(want, func(k countKey, _ int64) bool { return k.window+maxRetainedWindows < newest })
		for key, requests := range want {
			if got := aggregate.Sum(key.window)[key.customer]; got != requests {
				t.Fatalf("%d of %v, counted %d", got, key, requests)
			}
		}
		if incomplete := aggregate.IncompleteGateways(time.Time{}, now); len(incomplete) > 0 {
			t.Errorf("%v are missing", incomplete)
		}
	})
}

// An update of which only a part fits says so, and the next ones tell the rest.
func TestLargeUpdateIsSplit(t *testing.T) {
	counter := NewCounter(fiveSeconds, func() time.Time { return noon })
	for i := range 2*maxUpdateCounts + 7 {
		counter.Began(fmt.Sprint("customer-", i))
	}
	aggregate, from := NewAggregate(fiveSeconds, func() time.Time { return noon }), Source{Gateway: "a", Start: 1}
	for parts := 1; ; parts++ {
		update := counter.Update(aggregate.Sequence(from))
		aggregate.Merge(noon, from, update)
		if update.CompleteUntil != 0 {
			if parts != 3 {
				t.Errorf("%d parts", parts)
			}
			break
		}
		if len(aggregate.IncompleteGateways(time.Time{}, noon)) != 1 {
			t.Error("complete after a part")
		}
	}
	if got := len(aggregate.Sum(fiveSeconds.Number(noon))); got != 2*maxUpdateCounts+7 {
		t.Errorf("%d customers", got)
	}
}

// Counts of an earlier start of a gateway are added to those of the later one, and
// only the later one is waited for.
func TestOnlyLatestStartIsIncomplete(t *testing.T) {
	aggregate := NewAggregate(fiveSeconds, clockInWindow(7))
	counts := []Count{{Window: 7, Customer: "a", Requests: 3}}
	aggregate.Merge(noon, Source{Gateway: "x", Start: 1}, Update{Sequence: 3, CompleteUntil: 100, Counts: counts})
	aggregate.Merge(noon, Source{Gateway: "x", Start: 2}, Update{Sequence: 3, CompleteUntil: 900, Counts: counts})
	if got := aggregate.Sum(7)["a"]; got != 6 {
		t.Errorf("%d requests", got)
	}
	if incomplete := aggregate.IncompleteGateways(time.UnixMilli(0), time.UnixMilli(500)); len(incomplete) != 0 {
		t.Errorf("%v are waited for", incomplete)
	}
	if incomplete := aggregate.IncompleteGateways(time.UnixMilli(600), time.UnixMilli(1000)); len(incomplete) != 1 {
		t.Errorf("%v are waited for, one has sent a part", incomplete)
	}
	// One whose last update is before the window is gone, or had nothing.
	if incomplete := aggregate.IncompleteGateways(time.UnixMilli(1000), time.UnixMilli(1500)); len(incomplete) != 0 {
		t.Errorf("%v are waited for", incomplete)
	}
	aggregate.Expire(noon.Add(2*sourceExpiry), 7)
	if len(aggregate.sources)+len(aggregate.latestStarts) != 0 {
		t.Error("sources are kept without an update for a minute")
	}
}

// A checkpoint holds all that isn't reported, in rows that the store takes.
func TestCheckpointRestoresAllCounts(t *testing.T) {
	const gateways, customers = 68, 400
	aggregate := NewAggregate(fiveSeconds, clockInWindow(5))
	for i := range gateways {
		var counts []Count
		for c := range customers {
			counts = append(counts, Count{Window: 5, Customer: fmt.Sprintf("customer-%03d", c), Requests: 1})
		}
		aggregate.Merge(noon, Source{Gateway: fmt.Sprint("gateway-", i), Start: uint64(i) << 50}, Update{Counts: counts})
	}
	rows, err := aggregate.encodeCheckpoint(4)
	if err != nil {
		t.Fatal(err)
	}
	restored := NewAggregate(fiveSeconds, clockInWindow(5))
	for _, w := range checkpointWrites(rows, 0) {
		if len(w.Value) > maxRowBytes*4/3 {
			t.Errorf("row of %d bytes", len(w.Value))
		}
		if err := restored.restoreCheckpoint(singleRow(w.Value)); err != nil {
			t.Fatal(err)
		}
	}
	if got := restored.Sum(5); len(got) != customers || got["customer-007"] != gateways {
		t.Errorf("%d customers, %d of one", len(got), got["customer-007"])
	}
	if writes := checkpointWrites(nil, len(rows)); len(writes) != len(rows) || writes[0].Value != nil {
		t.Error("rows of before aren't emptied")
	}
	if rows, err := aggregate.encodeCheckpoint(5); err != nil || len(rows) != 1 {
		t.Errorf("%d rows of what is reported, %v", len(rows), err)
	}
}

// A gateway that only receives updates, and never reports, keeps a bounded part of them.
func TestAggregateIsBounded(t *testing.T) {
	now := noon
	aggregate := NewAggregate(fiveSeconds, func() time.Time { return now })
	first := fiveSeconds.Number(noon)
	for i := range uint64(500) {
		now = now.Add(5 * time.Second)
		from := Source{Gateway: fmt.Sprint("gateway-", i%3), Start: i / 50}
		aggregate.Merge(now, from, Update{Sequence: i, CompleteUntil: now.UnixMilli(), Counts: []Count{{Window: first + i, Customer: "a", Requests: 1}}})
	}
	counts := 0
	for _, source := range aggregate.sources {
		counts += len(source.counts)
	}
	if counts == 0 || counts > maxRetainedWindows+1 || len(aggregate.sources) > 6 || len(aggregate.latestStarts) != 3 {
		t.Errorf("%d counts of %d sources, %d gateways", counts, len(aggregate.sources), len(aggregate.latestStarts))
	}
}

// A gateway whose clock is hours off, until it hears of the others, takes no counts of theirs
// away.
func TestWrongClockDropsNoValidCounts(t *testing.T) {
	aggregate := NewAggregate(fiveSeconds, clockInWindow(5000))
	aggregate.Merge(noon, Source{Gateway: "right", Start: 1}, Update{Counts: []Count{{Window: 5000, Customer: "a", Requests: 3}}})
	aggregate.Merge(noon, Source{Gateway: "wrong", Start: 1}, Update{Counts: []Count{{Window: 9000, Customer: "a", Requests: 1}, {Window: 100, Customer: "a", Requests: 1}}})
	aggregate.Merge(noon, Source{Gateway: "right", Start: 1}, Update{Counts: []Count{{Window: 5001, Customer: "a", Requests: 1}}})
	if aggregate.Sum(5000)["a"] != 3 || aggregate.Sum(5001)["a"] != 1 || len(aggregate.Sum(9000))+len(aggregate.Sum(100)) != 0 {
		t.Errorf("%v, %v, %v, %v", aggregate.Sum(5000), aggregate.Sum(5001), aggregate.Sum(9000), aggregate.Sum(100))
	}
}
