package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// Guards against a full read that takes back what is known: peers share a change while the complete
// table, read after the loss of the history, is still on its way.
func TestFullReadOlderThanSharedChangesIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &recordingSink{}
		src := &scriptedSource{calls: []scriptedCall{
			{batch: Batch[string]{Items: []string{"a"}, Position: 3}},
			{err: ErrHistoryGone},
			{duration: 2 * time.Second, batch: Batch[string]{Items: []string{"a-late"}, Position: 4}},
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := &Follower[string]{Name: "t", Source: src, Sink: sink, MaxWait: FixedWait(time.Second), Log: zap.NewNop()}
		go f.Run(ctx)
		time.Sleep(time.Second)
		if err := f.ApplyDeltas(0, []Delta[string]{{From: 3, To: 7, Items: []string{"a-draining"}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := join(sink.items); got != "all a a-draining" || f.Position() != 7 {
			t.Errorf("sink got %q, position %d; want the shared change to stay in force", got, f.Position())
		}
		if got := join(src.requests); got != "read next after 3 read next after 7" {
			t.Errorf("requests %q, want the changes after the shared one to be polled", got)
		}
	})
}

// Guards against taking back what is known because the store reads from a copy that is behind: only a
// store that stays behind has gone back.
func TestStaleFullReadsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &recordingSink{}
		stale := scriptedCall{batch: Batch[string]{Items: []string{"stale"}, Position: 5}}
		src := &scriptedSource{calls: []scriptedCall{
			{batch: Batch[string]{Items: []string{"a"}, Position: 8}},
			{duration: time.Second, err: ErrHistoryGone},
			stale, stale, stale,
			{batch: Batch[string]{Items: []string{"b"}, Position: 9}},
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		f := &Follower[string]{Name: "t", Source: src, Sink: sink, MaxWait: FixedWait(time.Second), Log: zap.NewNop()}
		f.Run(ctx)
		if got := join(sink.items); got != "all a all b" || f.Position() != 9 {
			t.Errorf("sink got %q, position %d", got, f.Position())
		}
	})
}

// resetTimes is a Sink that records when the table was replaced.
type resetTimes struct {
	recordingSink
	at []time.Time
}

func (s *resetTimes) Reset(asOf time.Duration, all Batch[string]) {
	s.at = append(s.at, time.Now())
	s.recordingSink.Reset(asOf, all)
}

// Guards against a follower that never leaves the position of a store that has gone back, and one that
// does so before the store has stayed behind for some time.
func TestFullReadOfStoreThatWentBackIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &resetTimes{}
		src := &scriptedSource{calls: []scriptedCall{
			{batch: Batch[string]{Items: []string{"a"}, Position: 8}},
			{duration: time.Second, err: ErrHistoryGone},
		}}
		for range 2 * int(maxStaleReads/maxRetryDelay) {
			src.calls = append(src.calls, scriptedCall{batch: Batch[string]{Items: []string{"b"}, Position: 5}})
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := &Follower[string]{Name: "t", Source: src, Sink: sink, MaxWait: FixedWait(time.Second), Log: zap.NewNop()}
		f.Run(ctx)
		if f.Position() != 5 || len(sink.at) != 2 || sink.items[3] != "b" {
			t.Fatalf("sink got %q, position %d", join(sink.items), f.Position())
		}
		if after := sink.at[1].Sub(sink.at[0]); after < maxStaleReads || after > 2*maxStaleReads {
			t.Errorf("the older table was applied after %v", after)
		}
	})
}

// Guards against a gateway that never learns of drains because it could not read the table itself: the
// table that a peer hands over has a position, from which shared changes continue.
func TestTableFromPeerIsContinuedByDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &recordingSink{}
		var idle atomic.Bool
		f := &Follower[string]{Name: "t", Source: &scriptedSource{}, Sink: sink, MaxWait: FixedWait(time.Second), Idle: idle.Load, Log: zap.NewNop()}
		if err := f.ApplyDeltas(0, []Delta[string]{{To: 5, Items: []string{"a", "b"}, Snapshot: true}, {From: 5, To: 6, Items: []string{"c"}}}); err != nil {
			t.Fatal(err)
		}
		if got := join(sink.items); got != "all a b c" || f.Position() != 6 {
			t.Errorf("sink got %q, position %d", got, f.Position())
		}
		if f.ConfirmedAt() != 0 {
			t.Error("a table from a peer counts as confirmed by the store")
		}
	})
}

// delayedSource responds to each poll after a fixed time, unless the call is cancelled.
type delayedSource struct {
	responseTime time.Duration
	polls        int
}

func (*delayedSource) Read(context.Context, string) (Batch[string], error) {
	return Batch[string]{Position: 1}, nil
}

func (s *delayedSource) Next(ctx context.Context, after Position, wait time.Duration) (Batch[string], error) {
	s.polls++
	select {
	case <-time.After(wait + s.responseTime):
		return Batch[string]{Position: after}, nil
	case <-ctx.Done():
		return Batch[string]{}, ctx.Err()
	}
}

// Guards against a follower that cancels each poll before a slow store can respond.
func TestCancelledPollsLetSlowStoreRespond(t *testing.T) {
	for _, responseTime := range []time.Duration{200 * time.Millisecond, 900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			src, responses := &delayedSource{responseTime: responseTime}, 0
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			f := &Follower[string]{
				Name: "t", Source: src, Sink: &recordingSink{}, MaxWait: FixedWait(10 * time.Second), Log: zap.NewNop(),
				ShouldCancelPoll: func() bool { return true }, OnResponse: func(time.Duration, Position) { responses++ },
			}
			f.Run(ctx)
			if responses < 8 || src.polls > 5*responses {
				t.Errorf("%d responses to %d polls that take %v", responses, src.polls, responseTime)
			}
		})
	}
}
