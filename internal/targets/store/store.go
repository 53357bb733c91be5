// Package store keeps the targets in the platform's table service, under one
// version number, written by compare-and-set. Start reading at Store.
//
// # Layout
//
// Two rows are written together in each change. The row "targets/set" holds
// the whole Set; the row "targets/head" holds only its version. A process that
// polls reads the head, some tens of bytes, and reads the set only when the
// head is newer than what it has.
//
// At the target size, 410 entries poll the head every PollInterval, which is
// 137 reads a second, and 1,000 changes a day add 5 reads a second on average
// and another 137 a second at most in the seconds after a change. Agents
// don't poll; they learn the targets from the entries they talk to. If the
// 1,200 agents polled as well, the head alone would take 537 reads a second,
// a quarter of what the table service gives to everything.
//
// One row for the whole set rather than a row a class: a reader gets one
// consistent version with one read, and no mixture of two versions can be
// seen. The row is small: the bounds in package targets keep it below a
// megabyte, and 400 customers with 50 classes take about 50 KB.
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

// Store reads and changes the targets in the table service.
type Store struct {
	table storage.Table
}

// New returns a Store on the table service.
func New(table storage.Table) *Store {
	return &Store{table: table}
}

// Load reads the newest Set; an empty one of version zero before the first
// change. It returns ErrUnavailable or ErrCorrupt.
func (s *Store) Load(ctx context.Context) (*targets.Set, error) {
	stored, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	return stored.set, nil
}

// Version reads the version of the newest Set; zero before the first change.
// It returns ErrUnavailable or ErrCorrupt.
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
//   - a ConflictError when base isn't the newest version;
//   - the error of edit as it is, or a targets.ValidationError;
//   - ErrUnavailable when nothing was written;
//   - an UnsettledError when nobody can tell.
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
	change := uuid.NewString()
	writes, err := stored.writes(next, change)
	if err != nil {
		return nil, err
	}
	err = confirm.Commit(ctx, s.table, writes, func(ctx context.Context) (confirm.Verdict, error) {
		return s.verdict(ctx, stored.rowVersion, change)
	})
	switch {
	case err == nil:
		return next, nil
	case errors.Is(err, confirm.ErrConflict):
		return nil, s.conflict(ctx, stored.set.Version)
	case errors.Is(err, confirm.ErrUnavailable):
		return nil, errors.Join(ErrUnavailable, err)
	}
	return nil, &UnsettledError{Change: change, Version: next.Version, Cause: err}
}

// verdict finds out whether a change took effect, also when later changes were
// made upon it.
func (s *Store) verdict(ctx context.Context, rowVersion uint64, change string) (confirm.Verdict, error) {
	now, err := s.read(ctx)
	switch {
	case err != nil:
		return 0, err
	case now.holds(change):
		return confirm.Written, nil
	case now.rowVersion != rowVersion:
		return confirm.Overtaken, nil
	}
	return confirm.Pending, nil
}

// conflict reads the newer Set for a ConflictError.
func (s *Store) conflict(ctx context.Context, base uint64) error {
	newer, err := s.Load(ctx)
	if err != nil {
		return err
	}
	return &ConflictError{Base: base, Newer: newer}
}

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
