package engine

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/applepier/applepier/testbed/recordfile"
)

// maxRecords is the maximum number of records; the oldest are dropped first.
const maxRecords = 500_000

// runLog stores the records of all runs and the cancel functions of the active
// ones. It is safe for concurrent use.
type runLog struct {
	mu      sync.Mutex
	seq     int
	records []*RunRecord
	active  map[*RunRecord]context.CancelCauseFunc
	file    *recordfile.File
}

// newRunLog returns an empty log that also writes to the file at path, unless
// path is empty.
func newRunLog(path string) (*runLog, error) {
	l := &runLog{active: map[*RunRecord]context.CancelCauseFunc{}}
	if path == "" {
		return l, nil
	}
	var err error
	l.file, err = recordfile.Open(path)
	return l, err
}

// accept adds a run that was received. The caller fills in the fields that come
// from the request; cancel cancels the run.
func (l *runLog) accept(received RunRecord, cancel context.CancelCauseFunc) *RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	r := &received
	r.Seq = l.seq
	r.RequestID, _, _ = strings.Cut(received.RunID, "#")
	r.Accepted = time.Now()
	r.Outcome = OutcomeWaiting
	l.records = append(l.records, r)
	if len(l.records) > maxRecords {
		l.records = slices.Delete(l.records, 0, 1)
	}
	l.active[r] = cancel
	l.write(r)
	return r
}

// start records that a run has got a slot and its prefill begins.
func (l *runLog) start(r *RunRecord, promptTokens, cachedTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r.Started = &now
	r.PromptTokens = promptTokens
	r.CachedTokens = cachedTokens
	r.Outcome = OutcomeRunning
	l.write(r)
}

// addToken records that a run has produced one more token.
func (l *runLog) addToken(r *RunRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Tokens++
}

// end records a run's end and its outcome.
func (l *runLog) end(r *RunRecord, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r.Ended = &now
	r.Outcome = outcome
	delete(l.active, r)
	l.write(r)
}

// cancel cancels the active runs with the given ID, or all active runs if it is
// empty.
func (l *runLog) cancel(runID string, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r, cancel := range l.active {
		if runID == "" || r.RunID == runID {
			cancel(cause)
		}
	}
}

// activeIDs returns the IDs of the runs that have not ended, oldest first.
func (l *runLog) activeIDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := []string{}
	for _, r := range l.records {
		if _, ok := l.active[r]; ok {
			ids = append(ids, r.RunID)
		}
	}
	return ids
}

// snapshot returns a copy of all records.
func (l *runLog) snapshot() []RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]RunRecord, len(l.records))
	for i, r := range l.records {
		records[i] = *r
	}
	return records
}

// close closes the record file; later records are kept in memory only.
func (l *runLog) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.file.Close()
	l.file = nil
}

// write appends a record to the record file, if there is one; l.mu must be held.
func (l *runLog) write(r *RunRecord) { _ = l.file.Write(r) }
