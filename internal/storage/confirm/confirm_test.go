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

const rowKey = "row"

// createRow writes the row with the given content. The row must not exist yet.
func createRow(ctx context.Context, table *storagetest.Table, content string) error {
	writes := []storage.Write{{Key: rowKey, Value: []byte(content)}}
	return confirm.Commit(ctx, table, writes, func(ctx context.Context) (confirm.Outcome, error) {
		row, err := table.Get(ctx, rowKey)
		switch {
		case errors.Is(err, storage.ErrNotFound):
			return confirm.Pending, nil
		case err != nil:
			return 0, err
		case string(row.Value) == content:
			return confirm.Written, nil
		}
		return confirm.Superseded, nil
	})
}

// Whatever happens to a request or its response, Commit must return the true
// outcome, and no copy of the request may take effect after that.
func TestCommitWithFaults(t *testing.T) {
	const (
		responseLost = storagetest.FaultResponseLost
		requestLost  = storagetest.FaultRequestLost
		delayed      = storagetest.FaultDelayed
		unavailable  = storagetest.FaultUnavailable
	)
	tests := []struct {
		name   string
		faults []storagetest.Fault
		want   error
	}{
		{"no fault", nil, nil},
		{"unavailable", []storagetest.Fault{unavailable}, confirm.ErrUnavailable},
		{"response lost", []storagetest.Fault{responseLost}, nil},
		{"request lost", []storagetest.Fault{requestLost}, nil},
		{"request lost three times", []storagetest.Fault{requestLost, requestLost, requestLost}, nil},
		{"request delayed", []storagetest.Fault{delayed}, nil},
		{"request lost, then unavailable", []storagetest.Fault{requestLost, unavailable, responseLost}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := storagetest.NewTable()
				table.InjectFaults(tt.faults...)
				err := createRow(t.Context(), table, "ours")
				if !errors.Is(err, tt.want) {
					t.Fatalf("got %v, want %v", err, tt.want)
				}
				if applied := table.ApplyDelayed(); applied != 0 {
					t.Fatalf("a delayed request took effect %d times after the outcome was returned", applied)
				}
			})
		})
	}
}

// If another writer has changed the row, Commit must report a conflict, also when
// the request was lost and only the read-back shows the other writer's content.
func TestCommitAfterAnotherWriter(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultNone, storagetest.FaultRequestLost} {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			if err := createRow(t.Context(), table, "theirs"); err != nil {
				t.Fatal(err)
			}
			table.InjectFaults(fault)
			if err := createRow(t.Context(), table, "ours"); !errors.Is(err, confirm.ErrConflict) {
				t.Fatalf("fault %v: got %v, want a conflict", fault, err)
			}
		})
	}
}

// If the service becomes unavailable while a first request is delayed, Commit must
// not return ErrUnavailable: the delayed request may still be applied.
func TestCommitWithUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		table.InjectFaults(storagetest.FaultDelayed)
		table.BeforeCommit(func([]storage.Write) {
			if table.Commits() == 1 {
				table.SetUnavailable(true)
			}
		})
		if err := createRow(t.Context(), table, "ours"); !errors.Is(err, confirm.ErrOutcomeUnknown) {
			t.Fatalf("got %v, want an unknown outcome", err)
		}
	})
}

// If the caller's context ends during a call that never returns, the write may
// have been applied.
func TestCommitTimeoutWithUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		table.InjectFaults(storagetest.FaultTimeout)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := createRow(ctx, table, "ours"); !errors.Is(err, confirm.ErrOutcomeUnknown) {
			t.Fatalf("got %v, want an unknown outcome", err)
		}
	})
}

// A call that never returns must leave time to read back and commit again.
func TestCommitAfterOneSlowCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		table.InjectFaults(storagetest.FaultTimeout)
		if err := createRow(t.Context(), table, "ours"); err != nil {
			t.Fatalf("got %v, want a confirmed write after one slow call", err)
		}
	})
}
