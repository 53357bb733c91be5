package gateway

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/routes"
)

// A full read confirms the state as of its call, a feed response only as of maxFeedSilence before.
// A later response may therefore confirm the state as of an earlier time, which must not replace
// the later confirmation time.
func TestStoreConfirmationTimeNeverDecreases(t *testing.T) {
	sink := &desiredStateSink{holder: &routes.Holder{}, registry: backend.NewRegistry(), log: zap.NewNop()}
	const readAt = 10 * time.Second
	sink.Reset(readAt, follow.Batch[*routes.Snapshot]{Items: []*routes.Snapshot{routes.NewSnapshot(1, routes.Limits{}, nil, nil, routes.Access{WithoutKeys: true})}})
	sink.Change(readAt+maxFeedSilence/2, follow.Batch[*routes.Snapshot]{})
	if got := time.Duration(sink.storeConfirmedAt.Load()); got != readAt {
		t.Errorf("confirmation time %v, want %v", got, readAt)
	}
	sink.Change(readAt+2*maxFeedSilence, follow.Batch[*routes.Snapshot]{})
	if got := time.Duration(sink.storeConfirmedAt.Load()); got != readAt+maxFeedSilence {
		t.Errorf("confirmation time %v, want %v", got, readAt+maxFeedSilence)
	}
}

// After a restore from an older copy the store may hold an older state than it had acknowledged.
// That state must neither replace the newer one nor count as confirmation.
func TestOlderStateConfirmsNothing(t *testing.T) {
	batchWithVersion := func(version uint64) follow.Batch[*routes.Snapshot] {
		return follow.Batch[*routes.Snapshot]{Items: []*routes.Snapshot{routes.NewSnapshot(version, routes.Limits{}, nil, nil, routes.Access{WithoutKeys: true})}}
	}
	for name, older := range map[string]follow.Batch[*routes.Snapshot]{"an older one": batchWithVersion(4), "none": {}} {
		sink := &desiredStateSink{holder: &routes.Holder{}, registry: backend.NewRegistry(), log: zap.NewNop()}
		sink.Reset(10*time.Second, batchWithVersion(5))
		sink.Reset(20*time.Second, older)
		sink.Change(30*time.Second, follow.Batch[*routes.Snapshot]{})
		if sink.holder.Version() != 5 || sink.holder.ConfirmedAt() != 10*time.Second || sink.storeConfirmedAt.Load() != int64(10*time.Second) {
			t.Errorf("%s: version %d, confirmation time %v", name, sink.holder.Version(), sink.holder.ConfirmedAt())
		}
		sink.Change(40*time.Second, batchWithVersion(5))
		if want := 40*time.Second - maxFeedSilence; sink.holder.ConfirmedAt() != want {
			t.Errorf("%s: confirmation time %v after operators wrote the state again, want %v", name, sink.holder.ConfirmedAt(), want)
		}
	}
}

// Guards against treating a store as unavailable because it no longer has the requested history,
// also while this gateway leaves the full read to other gateways. Gateways that did so sent their
// callers to other gateways.
func TestStoreWithoutHistoryIsAvailable(t *testing.T) {
	sink := &desiredStateSink{holder: &routes.Holder{}, registry: backend.NewRegistry(), log: zap.NewNop()}
	sink.Unavailable(nil)
	time.Sleep(time.Millisecond)
	if sink.unavailableFor() == 0 {
		t.Fatal("store counts as available after a failed call")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	follower := follow.Follower[*routes.Snapshot]{
		Name: "t", Source: sourceWithoutHistory{}, Sink: sink, MaxWait: follow.FixedWait(time.Second), Idle: func() bool { return true },
		DefersFullRead: func() bool { return true }, Log: zap.NewNop(),
	}
	follower.Run(ctx)
	if sink.unavailableFor() != 0 {
		t.Error("store counts as unavailable though it responds")
	}
}

// sourceWithoutHistory is a source whose store responds, but has no history of changes.
type sourceWithoutHistory struct{}

func (sourceWithoutHistory) Read(context.Context, string) (follow.Batch[*routes.Snapshot], error) {
	return follow.Batch[*routes.Snapshot]{}, follow.ErrHistoryGone
}

func (sourceWithoutHistory) Next(context.Context, follow.Position, time.Duration) (follow.Batch[*routes.Snapshot], error) {
	return follow.Batch[*routes.Snapshot]{}, follow.ErrHistoryGone
}
