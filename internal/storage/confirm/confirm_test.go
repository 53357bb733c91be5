package confirm_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/confirm"
	"github.com/applepier/applepier/internal/storage/storagetest"
)

const key = "row"

// create writes the row with the given content, which must not exist.
func create(ctx context.Context, table *storagetest.Table, content string) error {
	writes := []storage.Write{{Key: key, Value: []byte(content)}}
	return confirm.Commit(ctx, table, writes, func(ctx context.Context) (confirm.Verdict, error) {
		row, err := table.Get(ctx, key)
		switch {
		case errors.Is(err, storage.ErrNotFound):
			return confirm.Pending, nil
		case err != nil:
			return 0, err
		case string(row.Value) == content:
			return confirm.Written, nil
		}
		return confirm.Overtaken, nil
	})
}

func TestCommitUnderFaults(t *testing.T) {
	const (
		lost    = storagetest.FaultLost
		dropped = storagetest.FaultDropped
		late    = storagetest.FaultLate
		down    = storagetest.FaultDown
	)
	tests := []struct {
		name   string
		faults []storagetest.Fault
		want   error
	}{
		{"no fault", nil, nil},
		{"down", []storagetest.Fault{down}, confirm.ErrUnavailable},
		{"answer lost", []storagetest.Fault{lost}, nil},
		{"call lost", []storagetest.Fault{dropped}, nil},
		{"call lost three times", []storagetest.Fault{dropped, dropped, dropped}, nil},
		{"call late", []storagetest.Fault{late}, nil},
		{"call lost, then down", []storagetest.Fault{dropped, down, lost}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := storagetest.NewTable()
				table.FailCommits(tt.faults...)
				err := create(t.Context(), table, "ours")
				if !errors.Is(err, tt.want) {
					t.Fatalf("got %v, want %v", err, tt.want)
				}
				if landed := table.Land(); landed != 0 {
					t.Fatalf("a late call took effect %d times after the outcome was told", landed)
				}
			})
		})
	}
}

func TestCommitAfterAnotherWriter(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultNone, storagetest.FaultDropped} {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			if err := create(t.Context(), table, "theirs"); err != nil {
				t.Fatal(err)
			}
			table.FailCommits(fault)
			if err := create(t.Context(), table, "ours"); !errors.Is(err, confirm.ErrConflict) {
				t.Fatalf("fault %v: got %v, want a conflict", fault, err)
			}
		})
	}
}

func TestCommitSaysThatItCouldNotSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		table.FailCommits(storagetest.FaultLate)
		table.BeforeCommit(func([]storage.Write) {
			if table.Commits() == 1 {
				table.SetDown(true)
			}
		})
		if err := create(t.Context(), table, "ours"); !errors.Is(err, confirm.ErrUnsettled) {
			t.Fatalf("got %v, want an unsettled outcome", err)
		}
	})
}

func TestSlowServiceEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		table.FailCommits(storagetest.FaultSlow)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := create(ctx, table, "ours"); !errors.Is(err, confirm.ErrUnsettled) {
			t.Fatalf("got %v, want an unsettled outcome", err)
		}
	})
}

func TestOneSlowCallLeavesTimeToSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		table.FailCommits(storagetest.FaultSlow)
		if err := create(t.Context(), table, "ours"); err != nil {
			t.Fatalf("got %v, want the write to be settled after one slow call", err)
		}
	})
}
