package storagetest

import (
	"maps"

	"github.com/applepier/applepier/internal/storage"
)

var _ storage.EraReporter = (*Table)(nil)

// Snapshot is the content of a Table at one point in time.
type Snapshot struct{ rows map[string]storage.Row }

// Snapshot returns the current content of the table.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Snapshot{maps.Clone(t.rows)}
}

// Restore replaces the content of the table by that of the snapshot and begins
// a new era.
func (t *Table) Restore(snapshot Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = maps.Clone(snapshot.rows)
	t.era++
}

// Era implements storage.EraReporter.
func (t *Table) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}
