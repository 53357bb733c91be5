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

// clockInWindow returns a clock that is stopped within a window.
func clockInWindow(number uint64) func() time.Time {
	return func() time.Time { return fiveSeconds.End(number).Add(-time.Second) }
}

func TestWindowsNumberedFromUnixEpoch(t *testing.T) {
	at := time.Unix(353445120*5, 0)
	if got := fiveSeconds.Number(at.Add(time.Second)); got != 353445120 {
		t.Errorf("window number %d", got)
	}
	if got := fiveSeconds.End(353445120); !got.Equal(at.Add(5 * time.Second)) {
		t.Errorf("window ends at %v", got)
	}
}

// Updates may be lost, duplicated, reordered or truncated. Once a final update arrives that covers
// all changes, the receiver must have the sender's counts.
func TestUpdatesConvergeAfterLossDuplicationAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := noon
		counter := NewCounter(fiveSeconds, func() time.Time { return now })
		aggregator := NewAggregator(fiveSeconds, func() time.Time { return now })
		source := Source{Gateway: "a", BootID: 1}
		want := map[countKey]int64{}
		var sent []Update
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				customer := fmt.Sprint("c-", rapid.IntRange(0, 5).Draw(t, "customer"))
				counter.Add(customer)
				want[countKey{fiveSeconds.Number(now), customer}]++
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 7000).Draw(t, "ms")) * time.Millisecond)
			case 3:
				sent = append(sent, counter.UpdateSince(aggregator.MergedSequence(source)))
			case 4:
				if len(sent) > 0 {
					aggregator.Merge(now, source, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")])
				}
			}
		}
		aggregator.Merge(now, source, counter.UpdateSince(aggregator.MergedSequence(source)))
		newest := fiveSeconds.Number(now)
		maps.DeleteFunc(want, func(k countKey, _ int64) bool { return k.window+maxRetainedWindows < newest })
		for key, requests := range want {
			if got := aggregator.Sum(key.window)[key.customer]; got != requests {
				t.Fatalf("aggregated %d requests of %v, counted %d", got, key, requests)
			}
		}
		if incomplete := aggregator.IncompleteGateways(time.Time{}, now); len(incomplete) > 0 {
			t.Errorf("counts of %v are incomplete", incomplete)
		}
	})
}

// An update that doesn't fit into a datagram is marked as incomplete, and later updates carry the
// rest.
func TestLargeUpdateIsSplit(t *testing.T) {
	counter := NewCounter(fiveSeconds, func() time.Time { return noon })
	for i := range 2*maxUpdateCounts + 7 {
		counter.Add(fmt.Sprint("customer-", i))
	}
	aggregator, source := NewAggregator(fiveSeconds, func() time.Time { return noon }), Source{Gateway: "a", BootID: 1}
	for parts := 1; ; parts++ {
		update := counter.UpdateSince(aggregator.MergedSequence(source))
		aggregator.Merge(noon, source, update)
		if update.CompleteUntil != 0 {
			if parts != 3 {
				t.Errorf("update was split into %d parts", parts)
			}
			break
		}
		if len(aggregator.IncompleteGateways(time.Time{}, noon)) != 1 {
			t.Error("counts are complete after a truncated update")
		}
	}
	if got := len(aggregator.Sum(fiveSeconds.Number(noon))); got != 2*maxUpdateCounts+7 {
		t.Errorf("%d customers", got)
	}
}

// Guards against a window that is finalized without the counts of a gateway that has restarted: a late
// datagram of its earlier instance, which sends no more, must not take the current one's place.
func TestLateUpdateOfEarlierInstance(t *testing.T) {
	aggregator := NewAggregator(fiveSeconds, clockInWindow(7))
	earlier, current := Source{Gateway: "x", BootID: 1}, Source{Gateway: "x", BootID: 2}
	aggregator.Merge(noon, earlier, Update{Sequence: 1, CompleteUntil: 100})
	aggregator.Merge(noon, current, Update{Sequence: 1, CompleteUntil: 700})
	aggregator.Merge(noon, earlier, Update{Sequence: 2, CompleteUntil: 200})
	if incomplete := aggregator.IncompleteGateways(time.UnixMilli(500), time.UnixMilli(1000)); len(incomplete) != 1 {
		t.Errorf("incomplete gateways %v, want the one that has sent a part", incomplete)
	}
	// An instance that was silent until its record expired is current again when it sends.
	aggregator.Expire(noon.Add(2*sourceExpiry), 7)
	aggregator.Merge(noon.Add(2*sourceExpiry), current, Update{Sequence: 2, CompleteUntil: 800})
	if incomplete := aggregator.IncompleteGateways(time.UnixMilli(500), time.UnixMilli(1000)); len(incomplete) != 1 {
		t.Errorf("incomplete gateways %v after a pause, want the one that has sent a part", incomplete)
	}
}

// After a gateway restarts, the counts of its earlier instance are added to those of the current one.
// The earlier instance sends no more updates, so only the current one can be incomplete.
func TestOnlyLatestInstanceCanBeIncomplete(t *testing.T) {
	aggregator := NewAggregator(fiveSeconds, clockInWindow(7))
	counts := []Count{{Window: 7, Customer: "a", Requests: 3}}
	aggregator.Merge(noon, Source{Gateway: "x", BootID: 1}, Update{Sequence: 3, CompleteUntil: 100, Counts: counts})
	aggregator.Merge(noon, Source{Gateway: "x", BootID: 2}, Update{Sequence: 3, CompleteUntil: 900, Counts: counts})
	if got := aggregator.Sum(7)["a"]; got != 6 {
		t.Errorf("%d requests", got)
	}
	if incomplete := aggregator.IncompleteGateways(time.UnixMilli(0), time.UnixMilli(500)); len(incomplete) != 0 {
		t.Errorf("incomplete gateways %v, want none", incomplete)
	}
	if incomplete := aggregator.IncompleteGateways(time.UnixMilli(600), time.UnixMilli(1000)); len(incomplete) != 1 {
		t.Errorf("incomplete gateways %v, want the one that has sent a part", incomplete)
	}
	// A gateway whose last update ends before the interval has stopped or had no counts in it.
	if incomplete := aggregator.IncompleteGateways(time.UnixMilli(1000), time.UnixMilli(1500)); len(incomplete) != 0 {
		t.Errorf("incomplete gateways %v, want none", incomplete)
	}
	aggregator.Expire(noon.Add(2*sourceExpiry), 7)
	if len(aggregator.sources)+len(aggregator.latestBootIDs) != 0 {
		t.Error("sources without an update are kept after their expiry")
	}
}

// A checkpoint holds all counts that aren't finalized, in rows that are small enough for the store.
func TestCheckpointRestoresAllCounts(t *testing.T) {
	const gateways, customers = 68, 400
	aggregator := NewAggregator(fiveSeconds, clockInWindow(5))
	for i := range gateways {
		var counts []Count
		for c := range customers {
			counts = append(counts, Count{Window: 5, Customer: fmt.Sprintf("customer-%03d", c), Requests: 1})
		}
		aggregator.Merge(noon, Source{Gateway: fmt.Sprint("gateway-", i), BootID: uint64(i) << 50}, Update{Counts: counts})
	}
	rows, err := aggregator.encodeCheckpoint(4)
	if err != nil {
		t.Fatal(err)
	}
	restored := NewAggregator(fiveSeconds, clockInWindow(5))
	for _, w := range checkpointWrites(rows, 0) {
		if len(w.Value) > maxRowBytes*4/3 {
			t.Errorf("row of %d bytes", len(w.Value))
		}
		if err := restored.restoreCheckpoint(singleRow(w.Value)); err != nil {
			t.Fatal(err)
		}
	}
	if got := restored.Sum(5); len(got) != customers || got["customer-007"] != gateways {
		t.Errorf("%d customers, %d requests of one", len(got), got["customer-007"])
	}
	if writes := checkpointWrites(nil, len(rows)); len(writes) != len(rows) || writes[0].Value != nil {
		t.Error("rows of the previous checkpoint aren't emptied")
	}
	if rows, err := aggregator.encodeCheckpoint(5); err != nil || len(rows) != 1 {
		t.Errorf("%d rows after all windows were finalized, error %v", len(rows), err)
	}
}

// A gateway that only receives updates and never sends reports keeps a bounded number of counts.
func TestAggregatorIsBounded(t *testing.T) {
	now := noon
	aggregator := NewAggregator(fiveSeconds, func() time.Time { return now })
	first := fiveSeconds.Number(noon)
	for i := range uint64(500) {
		now = now.Add(5 * time.Second)
		source := Source{Gateway: fmt.Sprint("gateway-", i%3), BootID: i / 50}
		aggregator.Merge(now, source, Update{Sequence: i, CompleteUntil: now.UnixMilli(), Counts: []Count{{Window: first + i, Customer: "a", Requests: 1}}})
	}
	counts := 0
	for _, source := range aggregator.sources {
		counts += len(source.counts)
	}
	if counts == 0 || counts > maxRetainedWindows+1 || len(aggregator.sources) > 6 || len(aggregator.latestBootIDs) != 3 {
		t.Errorf("%d counts of %d sources, %d gateways", counts, len(aggregator.sources), len(aggregator.latestBootIDs))
	}
}

// The clock of a gateway may be hours off until it has received the time of the others. Its updates
// must not displace the counts of the other gateways.
func TestWrongClockDropsNoValidCounts(t *testing.T) {
	aggregator := NewAggregator(fiveSeconds, clockInWindow(5000))
	aggregator.Merge(noon, Source{Gateway: "right", BootID: 1}, Update{Counts: []Count{{Window: 5000, Customer: "a", Requests: 3}}})
	aggregator.Merge(noon, Source{Gateway: "wrong", BootID: 1}, Update{Counts: []Count{{Window: 9000, Customer: "a", Requests: 1}, {Window: 100, Customer: "a", Requests: 1}}})
	aggregator.Merge(noon, Source{Gateway: "right", BootID: 1}, Update{Counts: []Count{{Window: 5001, Customer: "a", Requests: 1}}})
	if aggregator.Sum(5000)["a"] != 3 || aggregator.Sum(5001)["a"] != 1 || len(aggregator.Sum(9000))+len(aggregator.Sum(100)) != 0 {
		t.Errorf("%v, %v, %v, %v", aggregator.Sum(5000), aggregator.Sum(5001), aggregator.Sum(9000), aggregator.Sum(100))
	}
}
