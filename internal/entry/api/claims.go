package api

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/claim"
	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/wire"
)

// ClaimStore stores claims on idempotency keys, so that calls with the same key run at
// most once. See claim.Claimer for its methods.
type ClaimStore interface {
	Claim(ctx context.Context, customer, key, fingerprint, attempt string) (claim.Claim, error)
	Grant(ctx context.Context, c claim.Claim, agent, grant string) (claim.Claim, error)
	Finish(ctx context.Context, c claim.Claim, o claim.Outcome) (claim.Claim, error)
	Release(ctx context.Context, c claim.Claim) error
	TakeOver(ctx context.Context, c claim.Claim, attempt string) (claim.Claim, error)
	Response(ctx context.Context, c claim.Claim) ([]byte, error)
}

// GrantVoider voids the grant that an earlier call with the same idempotency key has
// recorded, possibly at another entry, so that it can no longer be used.
type GrantVoider interface {
	Void(ctx context.Context, agent, grant string) (wire.VoidResult, error)
}

const (
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 256
	// settleTimeout limits recording the outcome after the response has been sent.
	settleTimeout = 5 * time.Second
	// inProgressRetryAfter is the Retry-After for a repeated call while an earlier one may
	// still be running.
	inProgressRetryAfter = 2 * time.Second
	// headerIdempotencyReplayed marks a stored response of an earlier call.
	headerIdempotencyReplayed = "Idempotency-Replayed"
)

// claimIdempotencyKey claims the request's idempotency key. It returns the claim, or
// writes the final response and returns false.
func (a *API) claimIdempotencyKey(w http.ResponseWriter, r *http.Request, req *dispatch.Request) (*claimGrantRecorder, bool) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		a.endWithoutDispatch(w, req, badRequestError("key_too_long", HeaderIdempotencyKey, "an idempotency key has at most 256 bytes"))
		return nil, false
	}
	fingerprint := claim.Fingerprint(r.Method, r.URL.Path, req.Class.Name, req.Body)
	c, err := a.config.Claims.Claim(r.Context(), req.Customer, key, fingerprint, req.ID)
	if err != nil {
		a.endWithoutDispatch(w, req, claimError(err))
		return nil, false
	}
	if !c.Owned {
		if c, err = a.resolveExistingClaim(w, r, c, req); err != nil {
			return nil, false
		}
	}
	return &claimGrantRecorder{claims: a.config.Claims, claim: c}, true
}

// errResponseWritten is returned when the final response has already been written.
var errResponseWritten = errors.New("response already written")

// resolveExistingClaim handles a claim that an earlier call has made. If that call has
// finished, it replays the stored response. Otherwise it voids the grant, if one was
// recorded, takes over the claim and returns it. If the earlier call may have run, it
// responds with an error. It returns errResponseWritten whenever it has written the
// response.
func (a *API) resolveExistingClaim(w http.ResponseWriter, r *http.Request, c claim.Claim, req *dispatch.Request) (claim.Claim, error) {
	if c.State == claim.StateFinished {
		a.replayResponse(w, r, c, req)
		return c, errResponseWritten
	}
	if c.State == claim.StateGranted {
		result, err := a.config.Grants.Void(r.Context(), c.Agent, c.Grant)
		if err == nil && result == wire.VoidStarted {
			a.endWithoutDispatch(w, req, inProgressError())
			return c, errResponseWritten
		}
		if err != nil || result != wire.VoidDone {
			a.endWithoutDispatch(w, req, resultError(dispatch.Result{Outcome: dispatch.Unknown, Reason: "earlier_call"}))
			return c, errResponseWritten
		}
	}
	claimed, err := a.config.Claims.TakeOver(r.Context(), c, req.ID)
	if err != nil {
		a.endWithoutDispatch(w, req, claimError(err))
		return c, errResponseWritten
	}
	return claimed, nil
}

// replayResponse writes the stored response of the call that ran, or an error if the
// response was not stored or cannot be read now.
func (a *API) replayResponse(w http.ResponseWriter, r *http.Request, c claim.Claim, req *dispatch.Request) {
	body, err := a.config.Claims.Response(r.Context(), c)
	if errors.Is(err, claim.ErrUnavailable) {
		a.endWithoutDispatch(w, req, apiError{
			status:     http.StatusConflict,
			code:       "response_unavailable",
			message:    "a call with this idempotency key has run; its answer can't be read now",
			outcome:    dispatch.Unknown,
			retryAfter: busyRetryAfter,
		})
		return
	}
	if err != nil || !c.Outcome.Complete {
		a.endWithoutDispatch(w, req, apiError{
			status:  http.StatusConflict,
			code:    "already_run",
			message: "a call with this idempotency key has run; its answer is no longer there",
			outcome: dispatch.Unknown,
		})
		return
	}
	w.Header().Set("Content-Type", c.Outcome.ContentType)
	w.Header().Set(headerIdempotencyReplayed, "true")
	w.WriteHeader(c.Outcome.Status)
	_, _ = w.Write(body)
	a.config.Observer.RequestEnded(req.Class, dispatch.Result{Outcome: dispatch.Completed}, time.Since(req.Arrived))
}

// endWithoutDispatch ends a received request with an error, without dispatching it.
func (a *API) endWithoutDispatch(w http.ResponseWriter, req *dispatch.Request, e apiError) {
	result := dispatch.Result{Outcome: e.outcome, Reason: e.metricsReason()}
	a.config.Observer.RequestEnded(req.Class, result, time.Since(req.Arrived))
	writeError(w, e)
}

func inProgressError() apiError {
	return apiError{
		status:     http.StatusConflict,
		code:       "in_progress",
		message:    "a call with this idempotency key has started and was not ended yet, as far as is known",
		outcome:    dispatch.Unknown,
		retryAfter: inProgressRetryAfter,
	}
}

func claimError(err error) apiError {
	var conflict *claim.ConflictError
	switch {
	case errors.Is(err, claim.ErrKeyReused):
		return apiError{
			status:  http.StatusUnprocessableEntity,
			code:    "idempotency_key_reused",
			message: "the idempotency key was used for a different request",
			outcome: dispatch.NotRun,
		}
	case errors.As(err, &conflict):
		return inProgressError()
	default:
		return notRunError("claim_unavailable", busyRetryAfter)
	}
}

// settleClaim records the outcome of a claimed request after the response was sent: it
// stores a complete response, and releases the claim of a request that did not run. In
// all other cases the claim stays, and a repeated call resolves it.
func (a *API) settleClaim(ctx context.Context, grantRecorder *claimGrantRecorder, result dispatch.Result, recorder *responseRecorder) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	var err error
	switch {
	case result.Outcome == dispatch.Completed:
		_, err = a.config.Claims.Finish(ctx, grantRecorder.claim, claim.Outcome{Complete: true, Status: recorder.status, ContentType: recorder.Header().Get("Content-Type"), Response: recorder.recordedBody()})
	case result.Outcome == dispatch.NotRun, result.Outcome == dispatch.Rejected, !result.BodySent:
		err = a.config.Claims.Release(ctx, grantRecorder.claim)
	}
	if err != nil {
		a.config.Log.Warn(logging.EventClaimNotSettled, logging.Request(grantRecorder.claim.Attempt), logging.Reason(err.Error()))
	}
}
