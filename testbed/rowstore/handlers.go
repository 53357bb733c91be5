package rowstore

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// maxPageRows is the maximum number of rows that a read returns.
const maxPageRows = 500

// response is the body of all JSON responses.
type response struct {
	Rows    []Row  `json:"rows"`
	HasMore bool   `json:"has-more"`
	Version uint64 `json:"vsn"`
	NowMS   int64  `json:"now-ms"`
}

func writeResponse(w http.ResponseWriter, status int, body response) {
	w.Header().Set("Content-Type", "application/json")
	body.NowMS = nowMS()
	w.WriteHeader(status)
	// An encoding error means that the HTTP client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// get serves a read of one partition of a table.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	s.readCount[query.Get("table")]++
	delay := s.readDelays[query.Get("table")]
	page := response{Version: s.version}
	for _, row := range s.tableRows(query.Get("table")) {
		if row.Partition == query.Get("part") && row.Key >= query.Get("from") && (query.Get("to") == "" || row.Key < query.Get("to")) {
			page.Rows = append(page.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Rows) > limit {
		page.Rows, page.HasMore = page.Rows[:limit], true
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	writeResponse(w, http.StatusOK, page)
}

// feed serves a long poll for a table's changes. Status 410 means that the changes
// after the requested version are no longer, or not yet, known.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("since-rev"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	silencedBefore := s.silencedCount(query.Get("table"))
	for waiting := true; ; {
		if s.silencedCount(query.Get("table")) != silencedBefore {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		changes, changed, gone := s.changesSince(query.Get("table"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(changes.Rows) > 0 || !waiting {
			writeResponse(w, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		if !s.feedsRespond() {
			panic(http.ErrAbortHandler)
		}
	}
}

// changesSince returns a table's changes after a version, a channel that is closed at the
// next change, and whether the version is outside the kept history.
func (s *Store) changesSince(table string, after uint64) (changes response, changed <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.historyStart || after > s.version {
		return changes, nil, true
	}
	changes.Version = s.version
	if s.fault == StaleFeeds {
		changes.Version = after
		return changes, s.changed, false
	}
	changes.Rows = s.historyAfter(table, after)
	return changes, s.changed, false
}

// feedsRespond reports whether the current fault lets waiting feeds respond.
func (s *Store) feedsRespond() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == NoFault || s.fault == StaleFeeds
}

// transact applies a transaction atomically. It responds with status 412 if a row's
// version isn't the expected one; a row that doesn't exist has version 0.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []Row `json:"expect-rev"`
		Puts       []Row `json:"puts"`
		Deletes    []Row `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range tx.Conditions {
		version := uint64(0)
		if row := s.rows[condition.Table+"\x00"+condition.Partition+"\x00"+condition.Key]; row != nil && !row.Deleted {
			version = row.Version
		}
		if version != condition.Version {
			writeResponse(w, http.StatusPreconditionFailed, response{Version: s.version})
			return
		}
	}
	s.version++
	for _, row := range tx.Puts {
		row.Version = s.version
		s.storeRow(row)
	}
	for _, row := range tx.Deletes {
		s.storeRow(Row{Table: row.Table, Partition: row.Partition, Key: row.Key, Version: s.version, Deleted: true})
	}
	s.wakeFeeds()
	writeResponse(w, http.StatusOK, response{Version: s.version})
}
