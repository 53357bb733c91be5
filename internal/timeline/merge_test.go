package timeline

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// skewedProcess is a process whose physical clock has a fixed offset.
type skewedProcess struct {
	ring  *Ring
	clock *Clock
}

func newSkewedProcess(name string, now *time.Time, skew time.Duration) skewedProcess {
	clock := NewClock(func() time.Time { return now.Add(skew) })
	return skewedProcess{ring: NewRing(name, clock, 1000), clock: clock}
}

// TestMergePreservesCausality simulates random messages between processes whose
// clocks are off by up to an hour either way.
func TestMergePreservesCausality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var processes []skewedProcess
		for i := range rapid.IntRange(2, 5).Draw(t, "processes") {
			skew := rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "skew")
			processes = append(processes, newSkewedProcess(fmt.Sprintf("p%d", i), &now, time.Duration(skew)))
		}
		pick := rapid.IntRange(0, len(processes)-1)
		messages := rapid.IntRange(1, 40).Draw(t, "messages")
		for i := range messages {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Millisecond)).Draw(t, "step")))
			from, to := processes[pick.Draw(t, "from")], processes[pick.Draw(t, "to")]
			id := fmt.Sprint(i)
			from.ring.Record(KindSent, id, "", "")
			to.clock.Observe(from.clock.Now())
			to.ring.Record(KindStart, id, "", "")
		}
		var logs [][]Event
		for _, p := range processes {
			logs = append(logs, p.ring.Events())
		}
		checkOrder(t, logs, Merge(logs...))
	})
}

func checkOrder(t *rapid.T, logs [][]Event, merged []Event) {
	index := make(map[Event]int, len(merged))
	sentAt := make(map[string]int)
	for i, e := range merged {
		index[e] = i
		if e.Kind == KindSent {
			sentAt[e.Request] = i
			continue
		}
		if _, ok := sentAt[e.Request]; !ok {
			t.Fatalf("the start of %s comes before its sent event", e.Request)
		}
	}
	for _, log := range logs {
		for i := 1; i < len(log); i++ {
			if index[log[i-1]] >= index[log[i]] {
				t.Fatalf("the events of %s changed order", log[i].Process)
			}
		}
	}
}

// Filter.Since is compared with the process's own clock, so that a clock that is off
// must not change which events are selected.
func TestSinceUsesOwnClock(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, skew := range []time.Duration{-time.Hour, 0, time.Hour} {
		p := newSkewedProcess("p", &now, skew)
		p.ring.Record(KindJoin, "", "", "old")
		now = now.Add(10 * time.Minute)
		p.ring.Record(KindLeave, "", "", "new")
		got := p.ring.Select(Filter{Since: 5 * time.Minute}).Events
		if len(got) != 1 || got[0].Detail != "new" {
			t.Errorf("skew %v: got %v", skew, got)
		}
	}
}
