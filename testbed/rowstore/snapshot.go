package rowstore

import (
	"maps"
	"slices"
)

// eraHeader counts how many times the store has come back from an older copy; in all
// answers.
const eraHeader = "Store-Era"

// Copy is what a Store held at a moment.
type Copy struct {
	version uint64
	rows    map[string]*Row
	history []Row
	since   uint64
}

// Copy keeps what the store holds now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{version: s.version, rows: maps.Clone(s.rows), history: slices.Clone(s.history), since: s.since}
}

// Return has the store come back from a copy, in the next era: what was written since is
// gone, and its versions are given out again.
func (s *Store) Return(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost, s.lostAt = nil, from.version
	for name, row := range s.rows {
		if before := from.rows[name]; before == nil || before.Version != row.Version {
			s.lost = append(s.lost, *row)
		}
	}
	s.version, s.rows, s.history, s.since = from.version, maps.Clone(from.rows), slices.Clone(from.history), from.since
	s.era++
	s.wake()
}

// WriteAgain writes the rows of tables again that the last return took away, those that
// were written meanwhile left out: what operators and servers do some time after it.
func (s *Store) WriteAgain(tables ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.lost {
		now := s.rows[row.Table+"\x00"+row.Part+"\x00"+row.Key]
		if !slices.Contains(tables, row.Table) || now != nil && now.Version > s.lostAt {
			continue
		}
		s.version++
		row.Version = s.version
		s.keep(row)
	}
	s.lost = nil
	s.wake()
}
