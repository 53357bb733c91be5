// Package rowstore is an in-memory stand-in for the platform's metadata store:
// tables of rows that share one version counter, with reads, change feeds and
// transactions over HTTP. Tests inject faults with Store.SetFault.
package rowstore

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is one version of a row, in its wire format.
type Row struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"vsn"`
	Deleted   bool   `json:"removed,omitempty"`
}

// Fault selects how the store handles requests.
type Fault int

// Faults.
const (
	// NoFault serves all requests.
	NoFault Fault = iota
	// Unavailable responds with status 503.
	Unavailable
	// Throttled responds with status 429.
	Throttled
	// Unresponsive never responds.
	Unresponsive
	// Reset closes connections without a response.
	Reset
	// StaleFeeds reports no changes to feeds but serves reads.
	StaleFeeds
	// EndlessBodies responds with bodies that have no end.
	EndlessBodies
)

// Store is the stand-in metadata store; it implements http.Handler.
type Store struct {
	// mu guards the fields below; no other lock is acquired while it is held.
	mu      sync.Mutex
	version uint64
	rows    map[string]*Row
	// history holds all changes in order. A row that changed twice occurs
	// twice, also in feeds.
	history []Row
	changed chan struct{}
	// historyStart is the oldest version from which feeds can continue.
	historyStart uint64
	fault        Fault
	requestCount int
	// silenced counts the calls of SilencePendingFeeds by table.
	silenced map[string]int
	// readDelays holds by table name how long the responses to reads are delayed.
	readDelays map[string]time.Duration
	// readCount counts reads by table name.
	readCount map[string]int
	// lostRows holds the rows that the last restore discarded, and
	// restoredVersion the version that it restored.
	lostRows        []Row
	restoredVersion uint64
	// era counts the restores.
	era int
}

// New returns an empty Store.
func New() *Store {
	return &Store{rows: map[string]*Row{}, changed: make(chan struct{}), readCount: map[string]int{}, readDelays: map[string]time.Duration{}, silenced: map[string]int{}}
}

// Put writes a row of the partition "" and returns its new version.
func (s *Store) Put(table, key string, value []byte) uint64 {
	return s.write(Row{Table: table, Key: key, Value: value})
}

// PutJSON writes a row like Put, with document as JSON for its value, and returns its
// new version. It panics if document can't be encoded.
func (s *Store) PutJSON(table, key string, document any) uint64 {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return s.Put(table, key, value)
}

// Delete deletes a row of the partition "".
func (s *Store) Delete(table, key string) { s.write(Row{Table: table, Key: key, Deleted: true}) }

// SetFault sets how requests are handled, including feeds that are waiting.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeFeeds()
}

// SilencePendingFeeds makes the feeds of a table that are waiting now never respond. New ones do.
func (s *Store) SilencePendingFeeds(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced[table]++
}

// DelayReads holds back the responses to reads of a table; each shows the table as it was at the call.
func (s *Store) DelayReads(table string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDelays[table] = d
}

// silencedCount returns how often the feeds of a table have been silenced.
func (s *Store) silencedCount(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silenced[table]
}

// TruncateHistory discards the change history: feeds from earlier versions get status 410.
func (s *Store) TruncateHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.historyStart = s.version
	s.wakeFeeds()
}

// RequestCount returns the number of requests received.
func (s *Store) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}

// ReadCount returns the number of reads of a table; each page counts as one.
func (s *Store) ReadCount(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readCount[table]
}

// Keys returns the keys of a table in all partitions, sorted.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, r := range s.tableRows(table) {
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
	s.storeRow(r)
	s.wakeFeeds()
	return s.version
}

// storeRow stores a changed row and appends it to the history. The caller holds s.mu.
func (s *Store) storeRow(r Row) {
	s.rows[r.Table+"\x00"+r.Partition+"\x00"+r.Key] = &r
	s.history = append(s.history, r)
}

// wakeFeeds wakes all waiting feeds. The caller holds s.mu.
func (s *Store) wakeFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// tableRows returns a table's rows in no particular order. The caller holds s.mu.
func (s *Store) tableRows(table string) []Row {
	var rows []Row
	for _, r := range s.rows {
		if r.Table == table && !r.Deleted {
			rows = append(rows, *r)
		}
	}
	return rows
}

// historyAfter returns a table's changes after a version, in order. The caller holds s.mu.
func (s *Store) historyAfter(table string, after uint64) []Row {
	var rows []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
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

// admit counts a request and applies the fault. It reports whether to serve the request.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.requestCount++
	fault, era := s.fault, s.era
	s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.Itoa(era))
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Throttled:
		w.WriteHeader(http.StatusTooManyRequests)
	case Unresponsive:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Reset:
		panic(http.ErrAbortHandler)
	case EndlessBodies:
		writeEndlessBody(w)
	default:
		return true
	}
	return false
}

// writeEndlessBody writes the beginning of a response with rows, and white space until the client closes the
// connection.
func writeEndlessBody(w http.ResponseWriter) {
	const block = 32 << 10
	_, err := io.WriteString(w, `{"rows":[`)
	for err == nil {
		_, err = io.WriteString(w, strings.Repeat(" ", block))
	}
}

// nowMS returns the store's monotonic clock, in milliseconds since the process started.
func nowMS() int64 { return time.Since(startTime).Milliseconds() }

var startTime = time.Now()
