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
type journal struct {
	mu      sync.Mutex
	seq     int
	records []*Record
	active  map[*Record]context.CancelCauseFunc
	file    *recordfile.File
}

// newRunLog returns an empty log that also writes to the file at path, unless
// path is empty.
func newJournal(path string) (*journal, error) {
	j := &journal{active: map[*Record]context.CancelCauseFunc{}}
	if path == "" {
		return j, nil
	}
	var err error
	j.file, err = recordfile.Open(path)
	return j, err
}

// accept adds a run that was received. The caller fills in the fields that come
// from the request; cancel cancels the run.
func (j *journal) accept(run Record, cancel context.CancelCauseFunc) *Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seq++
	r := &run
	r.Seq = j.seq
	r.Request, _, _ = strings.Cut(run.Run, "#")
	r.Accepted = time.Now()
	r.Outcome = OutcomeWaiting
	j.records = append(j.records, r)
	if len(j.records) > maxRecords {
		j.records = slices.Delete(j.records, 0, 1)
	}
	j.active[r] = cancel
	j.write(r)
	return r
}

// start records that a run has got a slot and its prefill begins.
func (j *journal) start(r *Record, promptTokens, cachedTokens int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	r.Started = &now
	r.PromptTokens = promptTokens
	r.CachedTokens = cachedTokens
	r.Outcome = OutcomeRunning
	j.write(r)
}

// addToken records that a run has produced one more token.
func (j *journal) token(r *Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Tokens++
}

// end records a run's end and its outcome.
func (j *journal) end(r *Record, outcome Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	r.Ended = &now
	r.Outcome = outcome
	delete(j.active, r)
	j.write(r)
}

// cancel cancels the active runs with the given id, or all active runs if it is
// empty.
func (j *journal) cancel(run string, cause error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for r, cancel := range j.active {
		if run == "" || r.Run == run {
			cancel(cause)
		}
	}
}

// activeIDs returns the ids of the runs that have not ended, oldest first.
func (j *journal) inProgress() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := []string{}
	for _, r := range j.records {
		if _, ok := j.active[r]; ok {
			runs = append(runs, r.Run)
		}
	}
	return runs
}

// snapshot returns a copy of all records.
func (j *journal) snapshot() []Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	records := make([]Record, len(j.records))
	for i, r := range j.records {
		records[i] = *r
	}
	return records
}

func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.file.Close()
	j.file = nil
}

func (j *journal) write(r *Record) { _ = j.file.Write(r) }
