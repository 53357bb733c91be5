package follow

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
)

// ageSink records the age of each batch's as-of time at the moment the batch arrives.
type ageSink struct{ ages []time.Duration }

func (s *ageSink) Reset(asOf time.Duration, _ Batch[string]) { s.record(asOf) }

func (s *ageSink) Change(asOf time.Duration, _ Batch[string]) { s.record(asOf) }

func (s *ageSink) Unavailable(error) {}

func (*ageSink) Available() {}

func (s *ageSink) record(asOf time.Duration) { s.ages = append(s.ages, boottime.Now()-asOf) }

// A response without changes that the store sent only after the complete wait is as of the end of the
// wait. Every other response is only as of the start of the call.
func TestAsOfTimeOfHeldResponses(t *testing.T) {
	const wait = 200 * time.Millisecond
	src := &scriptedSource{calls: []scriptedCall{
		{batch: Batch[string]{Position: 1}},
		{duration: wait, batch: Batch[string]{Position: 1}},
		{duration: wait, batch: Batch[string]{Position: 2, Items: []string{"news"}}},
		{duration: wait / 4, batch: Batch[string]{Position: 2}},
	}}
	sink := &ageSink{}
	ctx, cancel := context.WithTimeout(t.Context(), 5*wait)
	defer cancel()
	f := Follower[string]{Name: "t", Source: src, Sink: sink, MaxWait: FixedWait(wait), Log: zap.NewNop()}
	f.Run(ctx)
	if len(sink.ages) != 4 {
		t.Fatalf("%d batches", len(sink.ages))
	}
	if held := sink.ages[1]; held >= wait {
		t.Errorf("a response without changes that was held for %v is %v old on arrival", wait, held)
	}
	if changed := sink.ages[2]; changed < wait {
		t.Errorf("a response with changes that took %v is %v old on arrival", wait, changed)
	}
	if early := sink.ages[3]; early < wait/4 {
		t.Errorf("an early response without changes is %v old on arrival", early)
	}
}

// Stores count waits in whole milliseconds. They would round any other wait down and respond before it
// is over, so that a response without changes would only be as of the start of the call.
func TestWaitsAreWholeMilliseconds(t *testing.T) {
	f := Follower[string]{MaxWait: FixedWait(777777777 * time.Nanosecond)}
	for range 100 {
		if wait := f.nextWait(); wait%time.Millisecond != 0 || wait > f.MaxWait() || wait < f.MaxWait()/2 {
			t.Fatalf("wait is %v", wait)
		}
	}
}
