// Package platformtest is an in-memory platform with faults, for unit tests.
// Start reading at Table.
package platformtest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/applepier/applepier/internal/platform"
)

// Table is a platform.Table in memory whose calls fail on demand.
type Table struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	down    bool
	faults  []Fault
	late    [][]platform.Write
	before  func(writes []platform.Write)
	reads   int
	commits int
}

var _ platform.Table = (*Table)(nil)

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{rows: map[string]platform.Row{}}
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
func (t *Table) BeforeCommit(f func(writes []platform.Write)) {
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

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down || ctx.Err() != nil {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return copyRow(row), nil
}

// List implements platform.Table.
func (t *Table) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down || ctx.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, copyRow(t.rows[key]))
		}
	}
	return rows, nil
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, writes []platform.Write) error {
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	if before := t.hook(); before != nil {
		before(writes)
	}
	fault := t.nextFault()
	if fault == FaultSlow {
		<-ctx.Done()
		return platform.ErrOutcomeUnknown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commit(fault, writes)
}

func (t *Table) commit(fault Fault, writes []platform.Write) error {
	switch {
	case t.down || fault == FaultDown:
		return platform.ErrUnavailable
	case fault == FaultDropped:
		return platform.ErrOutcomeUnknown
	case fault == FaultLate:
		t.late = append(t.late, slices.Clone(writes))
		return platform.ErrOutcomeUnknown
	}
	err := t.apply(writes)
	if fault == FaultLost {
		return platform.ErrOutcomeUnknown
	}
	return err
}

func (t *Table) apply(writes []platform.Write) error {
	for _, w := range writes {
		if w.Expect != platform.AnyVersion && t.rows[w.Key].Version != w.Expect {
			return platform.ErrConflict
		}
	}
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		version := t.rows[w.Key].Version + 1
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: version}
	}
	return nil
}

func (t *Table) hook() func([]platform.Write) {
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

func copyRow(row platform.Row) platform.Row {
	row.Value = slices.Clone(row.Value)
	return row
}
