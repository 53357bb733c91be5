package platform

import (
	"sort"
	"strings"
	"sync"

	"github.com/applepier/applepier/internal/storage"
)

// table is an in-memory table of versioned rows.
type table struct {
	mu   sync.Mutex
	rows map[string]storage.Row
}

func (t *table) get(key string) (storage.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	return row, ok
}

func (t *table) list(prefix string) []storage.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []storage.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// commit applies all writes atomically. It returns false and applies none if a
// row's version isn't the expected one.
func (t *table) commit(writes []storage.Write) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if w.Expect != storage.AnyVersion && w.Expect != t.rows[w.Key].Version {
			return false
		}
	}
	for _, w := range writes {
		t.apply(w)
	}
	return true
}

func (t *table) apply(w storage.Write) {
	if w.Delete {
		delete(t.rows, w.Key)
		return
	}
	next := t.rows[w.Key].Version + 1
	t.rows[w.Key] = storage.Row{Key: w.Key, Value: w.Value, Version: next}
}
