package matrix

import (
	"strings"
	"time"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

// collect adds the engines' own record to the history and returns it.
func (r *rig) collect() (history.History, error) {
	for _, backend := range r.fleet.Backends {
		if backend.Server.Spec.Kind == settings.BackendService {
			if err := r.collectCalls(backend); err != nil {
				return history.History{}, err
			}
			continue
		}
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

// collectCalls adds a plain service's record of the calls that took effect.
func (r *rig) collectCalls(backend *fleet.Backend) error {
	calls, err := backend.Server.Calls()
	if err != nil {
		return err
	}
	for _, call := range calls {
		_, marker, _ := strings.Cut(call.Path, servicePath)
		r.recorder.Runs(history.Run{
			ID:      call.Run,
			Request: call.Request,
			Marker:  marker,
			Server:  backend.VM.Name,
			Started: call.At,
			Ended:   call.At,
			Ending:  history.EndingWhole,
		})
	}
	return nil
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
