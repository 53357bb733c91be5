// Package rowstore is a stand-in of the platform's metadata store: tables of
// rows under one counter of versions, with reads, feeds and transactions over
// HTTP. Its faults are set by method. Start reading at Store.
package rowstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is one row, as it is written on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"vsn"`
	Removed bool   `json:"removed,omitempty"`
}

// Fault is what becomes of calls.
type Fault int

// Faults.
const (
	// Well: calls are answered.
	Well Fault = iota
	// Busy: calls get 503.
	Busy
	// Throttled: calls get 429.
	Throttled
	// Silent: calls get no answer.
	Silent
	// Reset: connections are closed without an answer.
	Reset
	// Mute: feeds hear of no change, reads are answered.
	Mute
)

// Store is the stand-in. It implements http.Handler.
type Store struct {
	// mu guards what follows; nothing is locked while it is held.
	mu      sync.Mutex
	version uint64
	rows    map[string]*Row
	// history holds all changes in order: a row that changed twice is in it
	// twice, and feeds say so.
	history []Row
	changed chan struct{}
	// since is the version from which on the history is kept.
	since uint64
	fault Fault
	calls int
	// reads counts the reads of whole tables, by name.
	reads map[string]int
	// lost holds the rows that the last return took away, and lostAt the version to which
	// the store returned.
	lost   []Row
	lostAt uint64
	// era counts the returns from older copies.
	era int
}

// New returns a Store without rows.
func New() *Store {
	return &Store{rows: map[string]*Row{}, changed: make(chan struct{}), reads: map[string]int{}}
}

// Put writes a row and returns its version.
func (s *Store) Put(table, key string, value []byte) uint64 {
	return s.write(Row{Table: table, Key: key, Value: value})
}

// PutJSON writes a row that holds a document.
func (s *Store) PutJSON(table, key string, document any) uint64 {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return s.Put(table, key, value)
}

// Remove drops a row.
func (s *Store) Remove(table, key string) { s.write(Row{Table: table, Key: key, Removed: true}) }

// SetFault sets what becomes of calls; those that wait see it as well.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Forget drops the history: feeds from before get 410.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.since = s.version
	s.wake()
}

// Calls counts the calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Reads counts the reads of a whole table so far, each page as one.
func (s *Store) Reads(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[table]
}

// Keys returns the keys of a table in order.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, r := range s.table(table) {
		keys = append(keys, r.Key)
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) write(r Row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r.Version = s.version
	s.keep(r)
	s.wake()
	return s.version
}

// keep takes a changed row; s.mu is held.
func (s *Store) keep(r Row) {
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = &r
	s.history = append(s.history, r)
}

// wake wakes all feeds; s.mu is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// table returns a table's rows; s.mu is held.
func (s *Store) table(name string) []Row {
	var rows []Row
	for _, r := range s.rows {
		if r.Table == name && !r.Removed {
			rows = append(rows, *r)
		}
	}
	return rows
}

// changes returns a table's changes after a version, in order; s.mu is held.
func (s *Store) changes(name string, after uint64) []Row {
	var rows []Row
	for _, r := range s.history {
		if r.Table == name && r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	switch strings.TrimPrefix(r.URL.Path, "/v1/") {
	case "rows-get":
		s.get(w, r)
	case "rows-feed":
		s.feed(w, r)
	case "rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

// admit counts a call and plays the fault.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls++
	fault, era := s.fault, s.era
	s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.Itoa(era))
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Throttled:
		w.WriteHeader(http.StatusTooManyRequests)
	case Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Reset:
		panic(http.ErrAbortHandler)
	default:
		return true
	}
	return false
}

// nowMS is the store's steady clock.
func nowMS() int64 { return time.Since(started).Milliseconds() }

var started = time.Now()
