package matrix

import (
	"strings"
	"time"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

// collect adds the backend servers' own records to the history and returns it.
func (h *harness) collect() (history.History, error) {
	for _, backend := range h.fleet.Backends {
		if backend.Server.Spec.Kind == settings.BackendService {
			if err := h.collectCalls(backend); err != nil {
				return history.History{}, err
			}
			continue
		}
		records, err := backend.Server.Runs()
		if err != nil {
			return history.History{}, err
		}
		for _, record := range records {
			if run, ok := runFromRecord(backend, record); ok {
				h.recorder.Runs(run)
			}
		}
	}
	return h.recorder.History(), nil
}

// collectCalls adds a plain service's records of the calls that took effect.
func (h *harness) collectCalls(backend *fleet.Backend) error {
	calls, err := backend.Server.Calls()
	if err != nil {
		return err
	}
	for _, call := range calls {
		_, marker, _ := strings.Cut(call.Path, servicePath)
		h.recorder.Runs(history.Run{
			ID:      call.Run,
			Request: call.Request,
			Marker:  marker,
			Server:  backend.VM.Name,
			Started: call.At,
			Ended:   call.At,
			Ending:  history.EndingComplete,
		})
	}
	return nil
}

// runFromRecord converts an engine's record to a run. It reports false for a record
// whose work never started.
func runFromRecord(backend *fleet.Backend, record engine.RunRecord) (history.Run, bool) {
	if record.Started == nil {
		return history.Run{}, false
	}
	run := history.Run{
		ID:         record.RunID,
		Request:    record.RequestID,
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
	case engine.OutcomeCompleted:
		return history.EndingComplete
	case engine.OutcomeCancelled, engine.OutcomeDisconnected:
		return history.EndingCancelled
	}
	return history.EndingOpen
}
