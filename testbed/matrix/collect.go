package matrix

import (
	"time"

	"github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

// collect adds the engines' own record to the history and returns it.
func (r *rig) collect() (history.History, error) {
	for _, backend := range r.fleet.Backends {
		records, err := backend.Server.Runs()
		if err != nil {
			return history.History{}, err
		}
		for _, record := range records {
			if run, ok := runOf(backend, record); ok {
				r.recorder.Runs(run)
			}
		}
	}
	return r.recorder.History(), nil
}

// runOf translates a record; one that work never began on is no run.
func runOf(backend *fleet.Backend, record engine.Record) (history.Run, bool) {
	if record.Started == nil {
		return history.Run{}, false
	}
	run := history.Run{
		ID:         record.Run,
		Request:    record.Request,
		Marker:     record.Marker,
		Server:     backend.VM.Name,
		Started:    *record.Started,
		Ending:     endingOf(record.Outcome),
		ResumeFrom: record.ResumedFrom,
		Tokens:     record.Tokens,
	}
	if record.Ended != nil {
		run.Ended = *record.Ended
	} else {
		run.Ended = time.Now()
	}
	return run, true
}

func endingOf(outcome engine.Outcome) history.Ending {
	switch outcome {
	case engine.OutcomeWhole:
		return history.EndingWhole
	case engine.OutcomeCancelled, engine.OutcomeDisconnected:
		return history.EndingCancelled
	}
	return history.EndingOpen
}
