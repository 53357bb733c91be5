// Package store persists the targets in the platform's table service. All
// targets share one version number and are updated by compare-and-set. Start
// reading at Store.
//
// # Layout
//
// Each change writes two rows in one transaction. The row "targets/set" holds
// the whole Set; the row "targets/head" holds only its version. A polling
// process reads the head row, a few tens of bytes, and reads the set row only
// when the head has a newer version than its own.
//
// At the system's target size, 410 entries poll the head row every
// PollInterval, which is 137 reads per second. 1,000 changes per day add 5
// reads per second on average, and at most another 137 per second in the
// seconds after a change. Agents don't poll; they receive the targets from the
// entries they are connected to. If the 1,200 agents polled as well, the head
// row alone would take 537 reads per second, a quarter of the table service's
// total capacity.
//
// The whole Set is in one row, not one row per class, so that a reader gets a
// consistent version with one read and never sees a mixture of two versions.
// The row is small: the limits in package targets keep it below one megabyte,
// and 400 customers with 50 classes take about 50 KB.
package store

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/confirm"
	"github.com/applepier/applepier/internal/targets"
)

// Store reads and updates the targets in the table service.
type Store struct {
	table storage.Table
}

// New returns a Store that uses the given table service.
func New(table storage.Table) *Store {
	return &Store{table: table}
}

// Load returns the newest Set, or an empty one of version zero before the first
// change. Its errors are ErrUnavailable and ErrCorrupt.
func (s *Store) Load(ctx context.Context) (*targets.Set, error) {
	stored, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	return stored.set, nil
}

// Version returns the version of the newest Set, or zero before the first
// change. Its errors are ErrUnavailable and ErrCorrupt.
func (s *Store) Version(ctx context.Context) (uint64, error) {
	row, err := s.table.Get(ctx, headKey)
	if errors.Is(err, storage.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Join(ErrUnavailable, err)
	}
	var head headRecord
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return 0, errors.Join(ErrCorrupt, err)
	}
	return head.Version, nil
}

// Change applies edit to a copy of the Set of version base and writes the
// result as the next version. It returns the new Set only after the write is
// confirmed. Errors:
//
//   - a *ConflictError if base isn't the newest version;
//   - the error returned by edit, unwrapped, or a *targets.ValidationError;
//   - ErrUnavailable if nothing was written;
//   - ErrCorrupt if the stored Set can't be decoded;
//   - an *OutcomeUnknownError if the outcome of the write can't be determined.
func (s *Store) Change(ctx context.Context, base uint64, edit func(*targets.Set) error) (*targets.Set, error) {
	stored, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	if stored.set.Version != base {
		return nil, &ConflictError{Base: base, Newer: stored.set}
	}
	next := stored.set.Clone()
	if err := edit(next); err != nil {
		return nil, err
	}
	next.Version = base + 1
	next.Sort()
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return s.write(ctx, stored, next)
}

func (s *Store) write(ctx context.Context, stored storedSet, next *targets.Set) (*targets.Set, error) {
	changeID := uuid.NewString()
	writes, err := stored.transaction(next, changeID)
	if err != nil {
		return nil, err
	}
	err = confirm.Commit(ctx, s.table, writes, func(ctx context.Context) (confirm.Outcome, error) {
		return s.checkOutcome(ctx, stored.rowVersion, changeID)
	})
	switch {
	case err == nil:
		return next, nil
	case errors.Is(err, confirm.ErrConflict):
		return nil, s.conflictError(ctx, stored.set.Version)
	case errors.Is(err, confirm.ErrUnavailable):
		return nil, errors.Join(ErrUnavailable, err)
	}
	return nil, &OutcomeUnknownError{Change: changeID, Version: next.Version, Cause: err}
}

// checkOutcome determines whether a change took effect, even if later changes
// were based on it. rowVersion is the version of the set row that the change
// replaces.
func (s *Store) checkOutcome(ctx context.Context, rowVersion uint64, changeID string) (confirm.Outcome, error) {
	stored, err := s.read(ctx)
	switch {
	case err != nil:
		return 0, err
	case stored.containsChange(changeID):
		return confirm.Written, nil
	case stored.rowVersion != rowVersion:
		return confirm.Superseded, nil
	}
	return confirm.Pending, nil
}

// conflictError reads the newest Set and returns a ConflictError with it.
func (s *Store) conflictError(ctx context.Context, base uint64) error {
	newer, err := s.Load(ctx)
	if err != nil {
		return err
	}
	return &ConflictError{Base: base, Newer: newer}
}

// read returns the decoded set row, or an empty Set before the first change.
func (s *Store) read(ctx context.Context) (storedSet, error) {
	row, err := s.table.Get(ctx, setKey)
	if errors.Is(err, storage.ErrNotFound) {
		return storedSet{set: &targets.Set{}}, nil
	}
	if err != nil {
		return storedSet{}, errors.Join(ErrUnavailable, err)
	}
	return parseSet(row)
}
