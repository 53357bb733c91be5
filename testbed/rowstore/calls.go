package rowstore

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// pageRows is how many rows a read returns at most.
const pageRows = 500

// answer is the body of all answers about rows.
type answer struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"vsn"`
	NowMS   int64  `json:"now-ms"`
}

func write(w http.ResponseWriter, status int, a answer) {
	w.Header().Set("Content-Type", "application/json")
	a.NowMS = nowMS()
	w.WriteHeader(status)
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(a)
}

// get answers a read of a table's part.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	s.reads[q.Get("table")]++
	out := answer{Version: s.version}
	for _, row := range s.table(q.Get("table")) {
		if row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			out.Rows = append(out.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	if len(out.Rows) > limit {
		out.Rows, out.More = out.Rows[:limit], true
	}
	write(w, http.StatusOK, out)
}

// feed waits for a table's changes.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("since-rev"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	over := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer over.Stop()
	for waiting := true; ; {
		out, changed, gone := s.news(q.Get("table"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out.Rows) > 0 || !waiting {
			write(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-over.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		if !s.admitted() {
			panic(http.ErrAbortHandler)
		}
	}
}

// news returns what changed in a table, a channel that is closed at the next
// change, and whether the history is gone.
func (s *Store) news(table string, after uint64) (out answer, changed <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.since || after > s.version {
		return out, nil, true
	}
	out.Version = s.version
	if s.fault == Mute {
		out.Version = after
		return out, s.changed, false
	}
	out.Rows = s.changes(table, after)
	return out, s.changed, false
}

// admitted reports whether calls that wait are still answered.
func (s *Store) admitted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == Well || s.fault == Mute
}

// transact applies a transaction: all of it or nothing.
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
	for _, c := range tx.Conditions {
		at := uint64(0)
		if row := s.rows[c.Table+"\x00"+c.Part+"\x00"+c.Key]; row != nil && !row.Removed {
			at = row.Version
		}
		if at != c.Version {
			write(w, http.StatusPreconditionFailed, answer{Version: s.version})
			return
		}
	}
	s.version++
	for _, row := range tx.Puts {
		row.Version = s.version
		s.keep(row)
	}
	for _, row := range tx.Deletes {
		s.keep(Row{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Removed: true})
	}
	s.wake()
	write(w, http.StatusOK, answer{Version: s.version})
}
