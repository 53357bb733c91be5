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

// The whole table proves the moment of its call, an answer of the feed only what
// was a second before its own: the later answer may prove the earlier moment.
func TestProofOfTheStoreNeverGoesBack(t *testing.T) {
	d := &desired{holder: &routes.Holder{}, registry: backend.NewRegistry(), log: zap.NewNop()}
	const read = 10 * time.Second
	d.Reset(read, follow.Batch[*routes.Set]{Items: []*routes.Set{routes.NewSet(1, routes.Limits{}, nil, nil, nil)}})
	d.Change(read+feedSilence/2, follow.Batch[*routes.Set]{})
	if got := time.Duration(d.provenAt.Load()); got != read {
		t.Errorf("proved at %v, after %v", got, read)
	}
	d.Change(read+2*feedSilence, follow.Batch[*routes.Set]{})
	if got := time.Duration(d.provenAt.Load()); got != read+feedSilence {
		t.Errorf("proved at %v, want %v", got, read+feedSilence)
	}
}

// After its return from an older copy the store holds an older state than was
// acknowledged: that doesn't replace the newer one, and proves nothing.
func TestOlderStateProvesNothing(t *testing.T) {
	set := func(version uint64) follow.Batch[*routes.Set] {
		return follow.Batch[*routes.Set]{Items: []*routes.Set{routes.NewSet(version, routes.Limits{}, nil, nil, nil)}}
	}
	for name, older := range map[string]follow.Batch[*routes.Set]{"an older one": set(4), "none": {}} {
		d := &desired{holder: &routes.Holder{}, registry: backend.NewRegistry(), log: zap.NewNop()}
		d.Reset(10*time.Second, set(5))
		d.Reset(20*time.Second, older)
		d.Change(30*time.Second, follow.Batch[*routes.Set]{})
		if d.holder.Version() != 5 || d.holder.ProvenAt() != 10*time.Second || d.provenAt.Load() != int64(10*time.Second) {
			t.Errorf("%s: version %d, proved at %v", name, d.holder.Version(), d.holder.ProvenAt())
		}
		d.Change(40*time.Second, set(5))
		if want := 40*time.Second - feedSilence; d.holder.ProvenAt() != want {
			t.Errorf("%s: proved at %v after the operators wrote it again, want %v", name, d.holder.ProvenAt(), want)
		}
	}
}

// A store that answers that it doesn't have the history any more isn't away, also where other
// gateways read the state then: a gateway that took it for away sent its callers elsewhere.
func TestStoreThatHasNoHistoryIsNotAway(t *testing.T) {
	d := &desired{holder: &routes.Holder{}, registry: backend.NewRegistry(), log: zap.NewNop()}
	d.Unavailable(nil)
	time.Sleep(time.Millisecond)
	if d.away() == 0 {
		t.Fatal("the store isn't away after a failed call")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	f := follow.Follower[*routes.Set]{
		Name: "t", Source: noHistory{}, Sink: d, Wait: follow.Always(time.Second), Idle: func() bool { return true },
		Defers: func() bool { return true }, Log: zap.NewNop(),
	}
	f.Run(ctx)
	if d.away() != 0 {
		t.Error("the store is away though it answers")
	}
}

// noHistory is a store whose history is gone.
type noHistory struct{}

func (noHistory) Read(context.Context, string) (follow.Batch[*routes.Set], error) {
	return follow.Batch[*routes.Set]{}, follow.ErrHistoryGone
}

func (noHistory) Next(context.Context, follow.Position, time.Duration) (follow.Batch[*routes.Set], error) {
	return follow.Batch[*routes.Set]{}, follow.ErrHistoryGone
}
