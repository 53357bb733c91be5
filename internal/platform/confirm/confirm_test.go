package confirm_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/platform"
	"github.com/applepier/applepier/internal/platform/confirm"
	"github.com/applepier/applepier/internal/platform/platformtest"
)

const key = "row"

// create writes the row with the given content, which must not exist.
func create(ctx context.Context, table *platformtest.Table, content string) error {
	writes := []platform.Write{{Key: key, Value: []byte(content)}}
	return confirm.Commit(ctx, table, writes, func(ctx context.Context) (confirm.Verdict, error) {
		row, err := table.Get(ctx, key)
		switch {
		case errors.Is(err, platform.ErrNotFound):
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
		lost    = platformtest.FaultLost
		dropped = platformtest.FaultDropped
		late    = platformtest.FaultLate
		down    = platformtest.FaultDown
	)
	tests := []struct {
		name   string
		faults []platformtest.Fault
		want   error
	}{
		{"no fault", nil, nil},
		{"down", []platformtest.Fault{down}, confirm.ErrUnavailable},
		{"answer lost", []platformtest.Fault{lost}, nil},
		{"call lost", []platformtest.Fault{dropped}, nil},
		{"call lost three times", []platformtest.Fault{dropped, dropped, dropped}, nil},
		{"call late", []platformtest.Fault{late}, nil},
		{"call lost, then down", []platformtest.Fault{dropped, down, lost}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := platformtest.NewTable()
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
	for _, fault := range []platformtest.Fault{platformtest.FaultNone, platformtest.FaultDropped} {
		synctest.Test(t, func(t *testing.T) {
			table := platformtest.NewTable()
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
		table := platformtest.NewTable()
		table.FailCommits(platformtest.FaultLate)
		table.BeforeCommit(func([]platform.Write) {
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
		table := platformtest.NewTable()
		table.FailCommits(platformtest.FaultSlow)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := create(ctx, table, "ours"); !errors.Is(err, confirm.ErrUnsettled) {
			t.Fatalf("got %v, want an unsettled outcome", err)
		}
	})
}

func TestOneSlowCallLeavesTimeToSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.NewTable()
		table.FailCommits(platformtest.FaultSlow)
		if err := create(t.Context(), table, "ours"); err != nil {
			t.Fatalf("got %v, want the write to be settled after one slow call", err)
		}
	})
}
