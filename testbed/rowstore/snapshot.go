package rowstore

import (
	"maps"
	"slices"
)

// eraHeader is set in every response to the number of times the store was restored
// from a snapshot.
const eraHeader = "Store-Era"

// Snapshot is the content of a Store at one point in time.
type Snapshot struct {
	version      uint64
	rows         map[string]*Row
	history      []Row
	historyStart uint64
}

// Snapshot returns a snapshot of the store's current content.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{version: s.version, rows: maps.Clone(s.rows), history: slices.Clone(s.history), historyStart: s.historyStart}
}

// Restore restores the store from a snapshot and starts the next era: later writes are
// lost, and their versions are assigned again.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostRows, s.restoredVersion = nil, snapshot.version
	for name, row := range s.rows {
		if saved := snapshot.rows[name]; saved == nil || saved.Version != row.Version {
			s.lostRows = append(s.lostRows, *row)
		}
	}
	s.version, s.rows, s.history, s.historyStart = snapshot.version, maps.Clone(snapshot.rows), slices.Clone(snapshot.history), snapshot.historyStart
	s.era++
	s.wakeFeeds()
}

// RewriteLost writes those rows of the given tables again that the last Restore discarded,
// except rows written since. It simulates operators and servers that repeat their writes
// some time after a restore.
func (s *Store) RewriteLost(tables ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.lostRows {
		current := s.rows[row.Table+"\x00"+row.Partition+"\x00"+row.Key]
		if !slices.Contains(tables, row.Table) || current != nil && current.Version > s.restoredVersion {
			continue
		}
		s.version++
		row.Version = s.version
		s.storeRow(row)
	}
	s.lostRows = nil
	s.wakeFeeds()
}
