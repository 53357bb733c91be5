package engine

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// serveCompletion streams the response to one chat completion request. When the
// run does not complete, it aborts the connection.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	req, err := s.readRequest(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if status := s.knobs.Get().RejectStatus; status != 0 {
		writeError(w, status, "engine rejects requests: reject_status is set")
		return
	}
	if !slices.Contains(s.orders.loadedModels(), req.Model) {
		writeError(w, http.StatusNotFound, "model "+req.Model+" is not loaded")
		return
	}
	tokens := req.responseTokens()
	resumeFrom, err := intHeader(r, engine.HeaderResumeFrom)
	if err != nil || resumeFrom < 0 || resumeFrom > len(tokens) {
		writeError(w, http.StatusBadRequest, engine.HeaderResumeFrom+" must be a number from 0 to the response's length in tokens")
		return
	}
	priority, err := intHeader(r, engine.HeaderPriority)
	if err != nil {
		writeError(w, http.StatusBadRequest, engine.HeaderPriority+" must be a number")
		return
	}

	if version := s.config.SoftwareVersion; version != "" {
		w.Header().Set(engine.HeaderSoftwareVersion, version)
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	record := s.runs.accept(RunRecord{
		RunID:       r.Header.Get(engine.HeaderRequestID),
		Marker:      req.Metadata.Marker,
		Fingerprint: req.fingerprint(),
		Priority:    priority,
		ResumedFrom: resumeFrom,
	}, cancel)
	run := &run{
		server:     s,
		record:     record,
		promptText: req.promptText(),
		tokens:     tokens,
		writer:     newChunkWriter(w, req.Model, record.RunID),
	}
	outcome := outcomeOf(ctx, run.serve(ctx))
	s.runs.end(record, outcome)
	if outcome != OutcomeCompleted {
		panic(http.ErrAbortHandler)
	}
}

// readRequest reads and decodes the request body. It returns an error if the body
// is too large, can't be decoded or doesn't ask for a stream.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	req, err := decodeRequest(body)
	if err != nil {
		return nil, err
	}
	if !req.Stream {
		return nil, errors.New("only streaming requests are served")
	}
	return req, nil
}

// outcomeOf derives a run's outcome from its error and the cause of its
// context's cancellation.
func outcomeOf(ctx context.Context, runErr error) Outcome {
	cause := context.Cause(ctx)
	switch {
	case runErr == nil:
		return OutcomeCompleted
	case errors.Is(runErr, errStreamCut):
		return OutcomeCut
	case errors.Is(cause, errCancelled):
		return OutcomeCancelled
	case errors.Is(cause, errCrashed):
		return OutcomeCrashed
	default:
		return OutcomeDisconnected
	}
}

// intHeader parses a header as an integer; it returns 0 if the header is missing.
func intHeader(r *http.Request, name string) (int, error) {
	value := r.Header.Get(name)
	if value == "" {
		return 0, nil
	}
	return strconv.Atoi(value)
}
