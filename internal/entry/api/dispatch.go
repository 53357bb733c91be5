package api

import (
	"context"
	"net/http"
	"time"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/targets"
)

// answer writes what the caller gets.
type response interface {
	dispatch.Sink
	// begun reports whether a part was sent already.
	started() bool
	// finish ends a whole answer.
	finish()
	// fail ends an answer that has begun in a way the caller can't miss.
	fail(p apiError)
}

// carry has the request dispatched and writes its one final answer, which
// build shapes for the caller.
func (a *API) dispatchRequest(w http.ResponseWriter, r *http.Request, req *dispatch.Request, newResponse func(http.ResponseWriter) response) {
	w.Header().Set(HeaderRequestID, req.ID)
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		a.dispatchClaimed(w, r, req, newResponse)
		return
	}
	a.dispatchAndRespond(r.Context(), w, req, newResponse)
}

// carryClaimed is carry for a call with an idempotency key: whatever its class
// says, it runs at most once.
func (a *API) dispatchClaimed(w http.ResponseWriter, r *http.Request, req *dispatch.Request, newResponse func(http.ResponseWriter) response) {
	claimed, ok := a.claimIdempotencyKey(w, r, req)
	if !ok {
		return
	}
	req.Guard = claimed
	req.Repeatable = false
	rec := newResponseRecorder(w)
	result := a.dispatchAndRespond(r.Context(), rec, req, newResponse)
	a.settleClaim(r.Context(), claimed, result, rec)
}

func (a *API) dispatchAndRespond(ctx context.Context, w http.ResponseWriter, req *dispatch.Request, newResponse func(http.ResponseWriter) response) dispatch.Result {
	resp := newResponse(w)
	result := a.config.Dispatcher.Do(ctx, req, resp)
	a.config.Observer.RequestEnded(req.Class, result, time.Since(req.Arrived))
	a.writeResult(w, result, resp)
	return result
}

func (a *API) writeResult(w http.ResponseWriter, result dispatch.Result, resp response) {
	switch {
	case result.Outcome == dispatch.Gone:
	case result.Outcome == dispatch.Whole:
		resp.finish()
	case resp.started():
		resp.fail(resultError(result))
	case result.Outcome == dispatch.Rejected:
		writeBackendError(w, result)
	default:
		writeError(w, resultError(result))
	}
}

// writeRejected passes the backend server's own error on.
func writeBackendError(w http.ResponseWriter, result dispatch.Result) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(dispatch.Rejected))
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
}

func (a *API) authenticate(w http.ResponseWriter, r *http.Request, set *targets.Set) (string, bool) {
	customer, err := a.config.Auth.Customer(set, r)
	if err != nil {
		refuseWithoutBody(w, r, apiError{status: http.StatusUnauthorized, code: "invalid_api_key", message: "send a customer's API key as a bearer token", outcome: dispatch.NotRun})
		return "", false
	}
	return customer, true
}
