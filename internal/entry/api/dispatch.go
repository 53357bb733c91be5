package api

import (
	"context"
	"net/http"
	"time"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/unread"
)

// response converts the frames from the backend server into the HTTP response for the
// caller.
type response interface {
	dispatch.Sink
	// started reports whether a part of the response has been sent.
	started() bool
	// finish completes a successful response.
	finish()
	// fail terminates a response that has started, in a way that the caller detects as an
	// error.
	fail(e apiError)
}

// dispatchRequest dispatches the request and writes its final response, in the format of
// newResponse. A request with an idempotency key is claimed first.
func (a *API) dispatchRequest(w http.ResponseWriter, r *http.Request, req *dispatch.Request, newResponse func(http.ResponseWriter) response) {
	w.Header().Set(HeaderRequestID, req.ID)
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		a.dispatchClaimed(w, r, req, newResponse)
		return
	}
	a.dispatchAndRespond(r.Context(), w, req, newResponse)
}

// dispatchClaimed dispatches a request with an idempotency key. The request runs at most
// once, even if its class is repeatable.
func (a *API) dispatchClaimed(w http.ResponseWriter, r *http.Request, req *dispatch.Request, newResponse func(http.ResponseWriter) response) {
	grantRecorder, ok := a.claimIdempotencyKey(w, r, req)
	if !ok {
		return
	}
	req.GrantRecorder = grantRecorder
	req.Repeatable = false
	recorder := newResponseRecorder(w)
	result := a.dispatchAndRespond(r.Context(), recorder, req, newResponse)
	a.settleClaim(r.Context(), grantRecorder, result, recorder)
}

func (a *API) dispatchAndRespond(ctx context.Context, w http.ResponseWriter, req *dispatch.Request, newResponse func(http.ResponseWriter) response) dispatch.Result {
	resp := newResponse(w)
	result := a.config.Dispatcher.Do(ctx, req, resp)
	a.config.Observer.RequestEnded(req.Class, result, time.Since(req.Arrived))
	a.writeResult(w, result, resp)
	return result
}

// writeResult completes the response, or writes or sends the error for the result. It
// writes nothing for a cancelled request, whose caller has disconnected.
func (a *API) writeResult(w http.ResponseWriter, result dispatch.Result, resp response) {
	switch {
	case result.Outcome == dispatch.Cancelled:
	case result.Outcome == dispatch.Completed:
		resp.finish()
	case resp.started():
		resp.fail(resultError(result))
	case result.Outcome == dispatch.Rejected:
		writeBackendError(w, result)
	default:
		writeError(w, resultError(result))
	}
}

// writeBackendError forwards the backend server's own error response to the caller.
func writeBackendError(w http.ResponseWriter, result dispatch.Result) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(dispatch.Rejected))
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
}

// authenticate returns the name of the customer that sent the request. If there is none,
// it writes the error response and returns false.
func (a *API) authenticate(w http.ResponseWriter, r *http.Request, set *targets.Set) (string, bool) {
	customer, err := a.config.Auth.Customer(set, r)
	if err != nil {
		e := apiError{status: http.StatusUnauthorized, code: "invalid_api_key", message: "send a customer's API key as a bearer token", outcome: dispatch.NotRun}
		unread.Respond(w, r, false, func() { a.refuse(w, r, e) })
		return "", false
	}
	return customer, true
}
