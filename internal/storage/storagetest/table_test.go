package storagetest

import (
	"context"
	"testing"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

func TestCommitFaults(t *testing.T) {
	tests := []struct {
		name        string
		fault       Fault
		err         error
		written     bool
		appliedLate int
	}{
		{"none", FaultNone, nil, true, 0},
		{"unavailable", FaultUnavailable, storage.ErrUnavailable, false, 0},
		{"response lost", FaultResponseLost, storage.ErrOutcomeUnknown, true, 0},
		{"request lost", FaultRequestLost, storage.ErrOutcomeUnknown, false, 0},
		{"delayed", FaultDelayed, storage.ErrOutcomeUnknown, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			table.InjectFaults(tt.fault)
			err := table.Commit(t.Context(), []storage.Write{{Key: "k", Value: []byte("v")}})
			if !errors.Is(err, tt.err) {
				t.Fatalf("error: got %v, want %v", err, tt.err)
			}
			_, err = table.Get(t.Context(), "k")
			if got := err == nil; got != tt.written {
				t.Errorf("written: got %v, want %v", got, tt.written)
			}
			if got := table.ApplyDelayed(); got != tt.appliedLate {
				t.Errorf("applied late: got %d, want %d", got, tt.appliedLate)
			}
		})
	}
}

func TestCommitWritesAllOrNothing(t *testing.T) {
	table := NewTable()
	writes := []storage.Write{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1"), Expect: 7}}
	if err := table.Commit(t.Context(), writes); !errors.Is(err, storage.ErrConflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	rows, err := table.List(t.Context(), "")
	if err != nil || len(rows) != 0 {
		t.Fatalf("rows after a conflict: %v, %v", rows, err)
	}
}

func TestTimedOutCommitEndsWithContext(t *testing.T) {
	table := NewTable()
	table.InjectFaults(FaultTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	table.BeforeCommit(func([]storage.Write) { cancel() })
	err := table.Commit(ctx, []storage.Write{{Key: "k"}})
	if !errors.Is(err, storage.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want an unknown outcome", err)
	}
}
