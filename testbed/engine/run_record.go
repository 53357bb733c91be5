package engine

import (
	"time"

	"github.com/applepier/applepier/testbed/recordfile"
)

// Outcome is the state of a run or the way it ended.
type Outcome string

// Outcomes of a run.
const (
	// OutcomeWaiting: the run is queued.
	OutcomeWaiting Outcome = "waiting"
	// OutcomeRunning: the run has started and not ended.
	OutcomeRunning Outcome = "running"
	// OutcomeCompleted: the complete response and [DONE] were written.
	OutcomeCompleted Outcome = "whole"
	// OutcomeCancelled: the run was cancelled by its ID.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeDisconnected: the HTTP client closed the connection.
	OutcomeDisconnected Outcome = "disconnected"
	// OutcomeCrashed: the engine crashed or was closed.
	OutcomeCrashed Outcome = "crashed"
	// OutcomeCut: the stream was cut by CutStreams.
	OutcomeCut Outcome = "cut"
)

// RunRecord is the engine's record of one run. Tests compare it with what the
// callers received.
type RunRecord struct {
	// Seq is the run's sequence number on this engine, starting at 1.
	Seq int `json:"seq"`
	// RunID is the run's ID; RequestID is its part before "#", without the
	// number of the attempt.
	RunID     string `json:"run"`
	RequestID string `json:"request"`
	// Fingerprint identifies the messages; see the function Fingerprint.
	Fingerprint string `json:"fingerprint"`
	// Marker is metadata.marker of the request, if set.
	Marker string `json:"marker,omitempty"`
	// Priority is the run's priority; lower values run first.
	Priority int `json:"priority"`
	// Accepted is when the request was received. Started is when its prefill
	// began, and Ended when the run ended; they are nil until then.
	Accepted time.Time  `json:"accepted"`
	Started  *time.Time `json:"started,omitempty"`
	Ended    *time.Time `json:"ended,omitempty"`
	// ResumedFrom is the number of leading response tokens that the request
	// asked to skip.
	ResumedFrom int `json:"resumed_from,omitempty"`
	// Tokens is the number of tokens that the run has produced, without
	// those skipped by ResumedFrom.
	Tokens int `json:"tokens"`
	// PromptTokens is the length of the prompt; CachedTokens is the part of
	// it that was in the prefix cache.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// Outcome is the run's state, or how it ended.
	Outcome Outcome `json:"outcome"`
}

// ReadRecordFile reads a file written as Config.RecordFile and returns the last
// written record of each run, ordered by Seq. The token count of a run that has
// not ended is not up to date in the file.
func ReadRecordFile(path string) ([]RunRecord, error) {
	written, err := recordfile.Read[RunRecord](path)
	if err != nil {
		return nil, err
	}
	var records []RunRecord
	for _, record := range written {
		records = putBySeq(records, record)
	}
	return records, nil
}

// putBySeq stores a record at index Seq-1, extending the slice as needed.
func putBySeq(records []RunRecord, record RunRecord) []RunRecord {
	for len(records) < record.Seq {
		records = append(records, RunRecord{})
	}
	if record.Seq > 0 {
		records[record.Seq-1] = record
	}
	return records
}
