package storagetest

import (
	"maps"

	"github.com/applepier/applepier/internal/storage"
)

var _ storage.Eras = (*Table)(nil)

// Copy is what a Table held at a moment.
type Copy struct{ rows map[string]storage.Row }

// Copy keeps what the table holds now.
func (t *Table) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{maps.Clone(t.rows)}
}

// Return has the table come back from a copy, in the next era.
func (t *Table) Return(from Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = maps.Clone(from.rows)
	t.era++
}

// Era implements storage.Eras.
func (t *Table) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}
