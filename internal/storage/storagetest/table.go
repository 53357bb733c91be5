// Package storagetest provides in-memory fakes of the platform's services with
// fault injection, for unit tests. Start reading at Table.
package storagetest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/applepier/applepier/internal/storage"
)

// Table is an in-memory storage.Table with fault injection. It is safe for
// concurrent use.
type Table struct {
	mu           sync.Mutex
	rows         map[string]storage.Row
	unavailable  bool
	faults       []Fault
	delayed      [][]storage.Write
	beforeCommit func(writes []storage.Write)
	reads        int
	commits      int
	era          uint64
}

var _ storage.Table = (*Table)(nil)

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{rows: map[string]storage.Row{}}
}

// SetUnavailable sets whether all calls fail with storage.ErrUnavailable.
func (t *Table) SetUnavailable(unavailable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailable = unavailable
}

// InjectFaults assigns one fault to each of the following commits, in order.
// Commits after those have no fault.
func (t *Table) InjectFaults(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// BeforeCommit sets a function that is called before each commit is applied;
// nil removes it. The table isn't locked during the call, so that the function
// may use it.
func (t *Table) BeforeCommit(f func(writes []storage.Write)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beforeCommit = f
}

// ApplyDelayed applies the commits delayed by FaultDelayed and returns how many
// of them took effect.
func (t *Table) ApplyDelayed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := 0
	for _, writes := range t.delayed {
		if t.apply(writes) == nil {
			applied++
		}
	}
	t.delayed = nil
	return applied
}

// Reads returns the number of calls of Get and List so far.
func (t *Table) Reads() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}

// Commits returns the number of calls of Commit so far.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Get implements storage.Table.
func (t *Table) Get(ctx context.Context, key string) (storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.unavailable || ctx.Err() != nil {
		return storage.Row{}, storage.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return storage.Row{}, storage.ErrNotFound
	}
	return copyRow(row), nil
}

// List implements storage.Table.
func (t *Table) List(ctx context.Context, prefix string) ([]storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.unavailable || ctx.Err() != nil {
		return nil, storage.ErrUnavailable
	}
	var rows []storage.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, copyRow(t.rows[key]))
		}
	}
	return rows, nil
}

// Commit implements storage.Table.
func (t *Table) Commit(ctx context.Context, writes []storage.Write) error {
	if ctx.Err() != nil {
		return storage.ErrUnavailable
	}
	if hook := t.beforeCommitHook(); hook != nil {
		hook(writes)
	}
	fault := t.nextFault()
	if fault == FaultTimeout {
		<-ctx.Done()
		return storage.ErrOutcomeUnknown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commit(fault, writes)
}

// commit applies the writes, or simulates the fault. The caller holds t.mu.
func (t *Table) commit(fault Fault, writes []storage.Write) error {
	switch {
	case t.unavailable || fault == FaultUnavailable:
		return storage.ErrUnavailable
	case fault == FaultRequestLost:
		return storage.ErrOutcomeUnknown
	case fault == FaultDelayed:
		t.delayed = append(t.delayed, slices.Clone(writes))
		return storage.ErrOutcomeUnknown
	}
	err := t.apply(writes)
	if fault == FaultResponseLost {
		return storage.ErrOutcomeUnknown
	}
	return err
}

// apply applies all writes, or returns ErrConflict. The caller holds t.mu.
func (t *Table) apply(writes []storage.Write) error {
	for _, w := range writes {
		if w.Expect != storage.AnyVersion && t.rows[w.Key].Version != w.Expect {
			return storage.ErrConflict
		}
	}
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		version := t.rows[w.Key].Version + 1
		t.rows[w.Key] = storage.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: version}
	}
	return nil
}

func (t *Table) beforeCommitHook() func([]storage.Write) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.beforeCommit
}

// nextFault counts a commit and returns the fault assigned to it.
func (t *Table) nextFault() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	if len(t.faults) == 0 {
		return FaultNone
	}
	fault := t.faults[0]
	t.faults = t.faults[1:]
	return fault
}

func copyRow(row storage.Row) storage.Row {
	row.Value = slices.Clone(row.Value)
	return row
}
