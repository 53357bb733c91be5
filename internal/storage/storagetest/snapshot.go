package storagetest

import (
	"maps"

	"github.com/applepier/applepier/internal/storage"
)

var _ storage.Eras = (*Table)(nil)

// Snapshot is the content of a Table at one point in time.
type Copy struct{ rows map[string]storage.Row }

// Snapshot returns the current content of the table.
func (t *Table) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{maps.Clone(t.rows)}
}

// Restore replaces the content of the table by that of the snapshot and begins
// a new era.
func (t *Table) Return(snapshot Copy) {
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
