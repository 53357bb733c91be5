package follow

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
)

// moments keeps when each batch counts from, seen from when it came.
type ageSink struct{ ages []time.Duration }

func (s *ageSink) Reset(asOf time.Duration, _ Batch[string]) { s.record(asOf) }

func (s *ageSink) Change(asOf time.Duration, _ Batch[string]) { s.record(asOf) }

func (s *ageSink) Unavailable(error) {}

func (*ageSink) Available() {}

func (s *ageSink) record(asOf time.Duration) { s.ages = append(s.ages, boottime.Now()-asOf) }

// An answer without news that the store held back for the whole wait tells of
// the end of the wait; any other only of when it was asked for.
func TestAsOfTimeOfHeldAnswers(t *testing.T) {
	const wait = 200 * time.Millisecond
	src := &scriptedSource{calls: []scriptedCall{
		{batch: Batch[string]{At: 1}},
		{duration: wait, batch: Batch[string]{At: 1}},
		{duration: wait, batch: Batch[string]{At: 2, Items: []string{"news"}}},
		{duration: wait / 4, batch: Batch[string]{At: 2}},
	}}
	seen := &ageSink{}
	ctx, cancel := context.WithTimeout(t.Context(), 5*wait)
	defer cancel()
	f := Follower[string]{Name: "t", Source: src, Sink: seen, Wait: Always(wait), Log: zap.NewNop()}
	f.Run(ctx)
	if len(seen.ages) != 4 {
		t.Fatalf("%d batches", len(seen.ages))
	}
	if held := seen.ages[1]; held >= wait {
		t.Errorf("an answer held for %v is %v old when it comes", wait, held)
	}
	if changed := seen.ages[2]; changed < wait {
		t.Errorf("news of an answer that took %v are %v old", wait, changed)
	}
	if early := seen.ages[3]; early < wait/4 {
		t.Errorf("an answer without news that came early is %v old", early)
	}
}

// Stores count waits in milliseconds.
func TestWaitsAreWholeMilliseconds(t *testing.T) {
	f := Follower[string]{Wait: Always(777777777 * time.Nanosecond)}
	for range 100 {
		if wait := f.nextWait(); wait%time.Millisecond != 0 || wait > f.Wait() || wait < f.Wait()/2 {
			t.Fatalf("a wait of %v", wait)
		}
	}
}
