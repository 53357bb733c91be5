package follow

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"
)

func TestPositionsOrderByEraThenVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := rapid.Uint64Range(0, 1<<versionBits-1)
		era := rapid.Uint64Range(0, 1<<16-1)
		p, q := NewPosition(era.Draw(t, "era"), version.Draw(t, "version")), NewPosition(era.Draw(t, "other"), version.Draw(t, "otherVersion"))
		if p.Era() < q.Era() && p >= q || p.Era() == q.Era() && (p.Version() < q.Version()) != (p < q) {
			t.Errorf("version %d of era %d and version %d of era %d are in the wrong order as %v and %v", p.Version(), p.Era(), q.Version(), q.Era(), p, q)
		}
		if read, err := ParsePosition(p.String()); err != nil || read != p {
			t.Errorf("%v is parsed as %v, error %v", p, read, err)
		}
	})
}

// Pages that were read before the store was restored from an older copy must not be combined with
// pages that were read afterwards.
func TestPagedReadRejectsPagesOfTwoEras(t *testing.T) {
	src := &scriptedSource{calls: []scriptedCall{
		{batch: Batch[string]{Items: []string{"a"}, Position: NewPosition(0, 9), NextPage: "b"}},
		{batch: Batch[string]{Items: []string{"b"}, Position: NewPosition(1, 4)}},
		{batch: Batch[string]{Items: []string{"c"}, Position: NewPosition(1, 4)}},
	}}
	var r pagedRead[string]
	if err := r.read(t.Context(), src); err == nil {
		t.Error("pages of two eras were combined")
	}
	if err := r.read(t.Context(), src); err != nil || !slices.Equal(r.batch.Items, []string{"c"}) {
		t.Errorf("items %v, error %v after the read started again", r.batch.Items, err)
	}
}

// After a restore of the store one follower reads the table. The others get the table and the later
// changes from that follower.
func TestSnapshotIsSharedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &scriptedSource{calls: []scriptedCall{
			{batch: Batch[string]{Items: []string{"a"}, Position: NewPosition(0, 9)}},
			{duration: time.Second, err: ErrHistoryGone},
			{batch: Batch[string]{Items: []string{"b"}, Position: NewPosition(1, 4)}},
			{duration: time.Second, batch: Batch[string]{Items: []string{"c"}, Position: NewPosition(1, 5)}},
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		first := Follower[string]{Name: "t", Source: src, Sink: &recordingSink{}, MaxWait: FixedWait(time.Second), Log: zap.NewNop()}
		sink := &recordingSink{}
		restored := 0
		second := Follower[string]{Name: "t", Sink: sink, OnRestore: func() { restored++ }, Log: zap.NewNop()}
		second.applyFullRead(0, Batch[string]{Items: []string{"a"}, Position: NewPosition(0, 8)})
		first.Run(ctx)
		if first.LastChange() != NewPosition(1, 5) || second.Position() >= first.LastChange() {
			t.Fatalf("last change at %v, the other follower is at %v", first.LastChange(), second.Position())
		}
		deltas, complete := first.DeltasSince(second.Position())
		if err := second.ApplyDeltas(0, deltas); err != nil || !complete {
			t.Fatalf("deltas complete: %v, error %v", complete, err)
		}
		if got := fmt.Sprint(sink.items); got != "[all a all b c]" || second.Position() != NewPosition(1, 5) {
			t.Errorf("sink got %v, position %v", got, second.Position())
		}
		if restored != 1 {
			t.Errorf("OnRestore was called %d times", restored)
		}
		// A third follower gets the table from the second.
		if deltas, complete = second.DeltasSince(NewPosition(0, 2)); !complete || len(deltas) != 2 {
			t.Errorf("third follower gets %v, complete: %v", deltas, complete)
		}
		if _, complete = second.DeltasSince(0); complete {
			t.Error("deltas were returned for a follower that hasn't read the table")
		}
	})
}

// A response that was sent before the store was restored belongs to another history and must not be
// applied.
func TestDeltasOfOtherErasAreNotApplied(t *testing.T) {
	sink := &recordingSink{}
	f := Follower[string]{Name: "t", Sink: sink, Log: zap.NewNop()}
	f.applyFullRead(0, Batch[string]{Position: NewPosition(2, 5)})
	f.applyChanges(0, Batch[string]{Items: []string{"old"}, Position: NewPosition(1, 9)})
	if err := f.ApplyDeltas(0, []Delta[string]{{From: NewPosition(1, 3), To: NewPosition(1, 9), Items: []string{"old"}}}); err != nil {
		t.Error(err)
	}
	if err := f.ApplyDeltas(0, []Delta[string]{{From: NewPosition(1, 3), To: NewPosition(3, 1), Items: []string{"new"}}}); err == nil {
		t.Error("deltas across a restore were applied")
	}
	if len(sink.items) != 1 {
		t.Errorf("sink got %v", sink.items)
	}
}
