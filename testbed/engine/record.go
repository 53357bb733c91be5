package engine

import (
	"time"

	"github.com/applepier/applepier/testbed/recordfile"
)

// Outcome says how a run ended.
type Outcome string

// Outcomes of a run.
const (
	// OutcomeWaiting: it has not begun.
	OutcomeWaiting Outcome = "waiting"
	// OutcomeRunning: it has begun and not ended.
	OutcomeRunning Outcome = "running"
	// OutcomeWhole: the whole answer and its end mark were written.
	OutcomeWhole Outcome = "whole"
	// OutcomeCancelled: it was cancelled by its id.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeDisconnected: its client closed the connection.
	OutcomeDisconnected Outcome = "disconnected"
	// OutcomeCrashed: the engine crashed.
	OutcomeCrashed Outcome = "crashed"
	// OutcomeCut: the engine cut the stream.
	OutcomeCut Outcome = "cut"
)

// Record is the ground truth of one run.
type Record struct {
	// Seq numbers the engine's runs from 1.
	Seq int `json:"seq"`
	// Run is the run's id; Request is its part before the attempt.
	Run     string `json:"run"`
	Request string `json:"request"`
	// Fingerprint identifies the messages; see Fingerprint.
	Fingerprint string `json:"fingerprint"`
	// Marker is the request's own name for the work, if it has one.
	Marker string `json:"marker,omitempty"`
	// Priority is the run's, lower first.
	Priority int `json:"priority"`
	// Accepted is when the request came; Started when work on it began, and
	// nil when it never did; Ended when it ended.
	Accepted time.Time  `json:"accepted"`
	Started  *time.Time `json:"started,omitempty"`
	Ended    *time.Time `json:"ended,omitempty"`
	// ResumedFrom is how many tokens were left out at its client's wish.
	ResumedFrom int `json:"resumed_from,omitempty"`
	// Tokens is how many tokens the run has produced, resumed ones apart.
	Tokens int `json:"tokens"`
	// PromptTokens and CachedTokens count the prompt.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// Outcome is how it ended, or how it stands.
	Outcome Outcome `json:"outcome"`
}

// ReadRecordFile reads a RecordFile back, with the last state that was
// written of each run, in order of their numbers. The number of tokens of a
// run without an end is not known from it.
func ReadRecordFile(path string) ([]Record, error) {
	written, err := recordfile.Read[Record](path)
	if err != nil {
		return nil, err
	}
	var records []Record
	for _, record := range written {
		records = place(records, record)
	}
	return records, nil
}

// place puts a record at its number.
func place(records []Record, record Record) []Record {
	for len(records) < record.Seq {
		records = append(records, Record{})
	}
	if record.Seq > 0 {
		records[record.Seq-1] = record
	}
	return records
}
