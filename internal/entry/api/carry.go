package api

import (
	"context"
	"net/http"
	"time"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/targets"
)

// answer writes what the caller gets.
type answer interface {
	dispatch.Sink
	// begun reports whether a part was sent already.
	begun() bool
	// finish ends a whole answer.
	finish()
	// fail ends an answer that has begun in a way the caller can't miss.
	fail(p problem)
}

// carry has the request dispatched and writes its one final answer, which
// build shapes for the caller.
func (a *API) carry(w http.ResponseWriter, r *http.Request, req *dispatch.Request, build func(http.ResponseWriter) answer) {
	w.Header().Set(HeaderRequest, req.ID)
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		a.carryClaimed(w, r, req, build)
		return
	}
	a.answer(r.Context(), w, req, build)
}

// carryClaimed is carry for a call with an idempotency key: whatever its class
// says, it runs at most once.
func (a *API) carryClaimed(w http.ResponseWriter, r *http.Request, req *dispatch.Request, build func(http.ResponseWriter) answer) {
	g, ok := a.begin(w, r, req)
	if !ok {
		return
	}
	req.Guard = g
	req.Repeatable = false
	rec := newRecorder(w)
	result := a.answer(r.Context(), rec, req, build)
	a.settle(r.Context(), g, result, rec)
}

func (a *API) answer(ctx context.Context, w http.ResponseWriter, req *dispatch.Request, build func(http.ResponseWriter) answer) dispatch.Result {
	out := build(w)
	result := a.config.Dispatcher.Do(ctx, req, out)
	a.config.Observer.Ended(req.Class, result, time.Since(req.Arrived))
	a.write(w, result, out)
	return result
}

func (a *API) write(w http.ResponseWriter, result dispatch.Result, out answer) {
	switch {
	case result.Outcome == dispatch.Gone:
	case result.Outcome == dispatch.Whole:
		out.finish()
	case out.begun():
		out.fail(problemOf(result))
	case result.Outcome == dispatch.Rejected:
		writeRejected(w, result)
	default:
		writeError(w, problemOf(result))
	}
}

// writeRejected passes the backend server's own error on.
func writeRejected(w http.ResponseWriter, result dispatch.Result) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(dispatch.Rejected))
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
}

func (a *API) authenticate(w http.ResponseWriter, r *http.Request, set *targets.Set) (string, bool) {
	customer, err := a.config.Auth.Caller(set, r)
	if err != nil {
		refuseUnread(w, r, problem{status: http.StatusUnauthorized, code: "invalid_api_key", message: "send a customer's API key as a bearer token", outcome: dispatch.NotRun})
		return "", false
	}
	return customer, true
}
