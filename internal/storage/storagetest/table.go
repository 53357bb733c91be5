// Package storagetest is an in-memory platform with faults, for unit tests.
// Start reading at Table.
package storagetest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/applepier/applepier/internal/storage"
)

// Table is a storage.Table in memory whose calls fail on demand.
type Table struct {
	mu      sync.Mutex
	rows    map[string]storage.Row
	down    bool
	faults  []Fault
	late    [][]storage.Write
	before  func(writes []storage.Write)
	reads   int
	commits int
	era     uint64
}

var _ storage.Table = (*Table)(nil)

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{rows: map[string]storage.Row{}}
}

// SetDown makes all calls fail with ErrUnavailable, or ends that.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// FailCommits assigns one fault to each of the following commits, in order.
func (t *Table) FailCommits(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// BeforeCommit sets a function that runs before each commit is applied,
// without the table's lock; nil removes it. It may use the table.
func (t *Table) BeforeCommit(f func(writes []storage.Write)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.before = f
}

// Land applies the commits that FaultLate kept back and counts those that
// took effect.
func (t *Table) Land() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	landed := 0
	for _, writes := range t.late {
		if t.apply(writes) == nil {
			landed++
		}
	}
	t.late = nil
	return landed
}

// Reads counts the calls of Get and List so far.
func (t *Table) Reads() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}

// Commits counts the calls of Commit so far.
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
	if t.down || ctx.Err() != nil {
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
	if t.down || ctx.Err() != nil {
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
	if before := t.hook(); before != nil {
		before(writes)
	}
	fault := t.nextFault()
	if fault == FaultSlow {
		<-ctx.Done()
		return storage.ErrOutcomeUnknown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commit(fault, writes)
}

func (t *Table) commit(fault Fault, writes []storage.Write) error {
	switch {
	case t.down || fault == FaultDown:
		return storage.ErrUnavailable
	case fault == FaultDropped:
		return storage.ErrOutcomeUnknown
	case fault == FaultLate:
		t.late = append(t.late, slices.Clone(writes))
		return storage.ErrOutcomeUnknown
	}
	err := t.apply(writes)
	if fault == FaultLost {
		return storage.ErrOutcomeUnknown
	}
	return err
}

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

func (t *Table) hook() func([]storage.Write) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.before
}

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
