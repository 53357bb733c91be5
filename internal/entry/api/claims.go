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

// Claims makes sure that calls with the same idempotency key run at most once.
type ClaimStore interface {
	Claim(ctx context.Context, customer, key, fingerprint, attempt string) (claim.Claim, error)
	Grant(ctx context.Context, c claim.Claim, agent, grant string) (claim.Claim, error)
	Finish(ctx context.Context, c claim.Claim, o claim.Outcome) (claim.Claim, error)
	Release(ctx context.Context, c claim.Claim) error
	TakeOver(ctx context.Context, c claim.Claim, attempt string) (claim.Claim, error)
	Answer(ctx context.Context, c claim.Claim) ([]byte, error)
}

// Grants makes a grant that another entry took up unusable.
type GrantVoider interface {
	Void(ctx context.Context, agent, grant string) (wire.VoidResult, error)
}

const (
	// maxKey bounds an idempotency key in bytes.
	maxIdempotencyKeyBytes = 256
	// claimTimeout bounds what is written after the answer has been given.
	settleTimeout = 5 * time.Second
	// inProgressRetryAfter is when a repeat of a call that still runs may ask
	// again.
	inProgressRetryAfter = 2 * time.Second
	// headerReplayed marks an answer that was kept from an earlier call.
	headerIdempotencyReplayed = "Idempotency-Replayed"
)

// begin claims the request's idempotency key. It returns the claim, or writes
// the final answer and returns false.
func (a *API) claimIdempotencyKey(w http.ResponseWriter, r *http.Request, req *dispatch.Request) (*claimGuard, bool) {
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
	if !c.Mine {
		if c, err = a.resolveExistingClaim(w, r, c, req); err != nil {
			return nil, false
		}
	}
	return &claimGuard{claims: a.config.Claims, claim: c}, true
}

// errAnswered: the caller has got the final answer already.
var errResponseWritten = errors.New("answered from the claim")

// takeOver settles a claim that an earlier call has left: its answer is given
// again, or its grant is voided and the work is this call's, or the caller is
// told that it may have run.
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
	taken, err := a.config.Claims.TakeOver(r.Context(), c, req.ID)
	if err != nil {
		a.endWithoutDispatch(w, req, claimError(err))
		return c, errResponseWritten
	}
	return taken, nil
}

// replay gives the answer of the call that ran.
func (a *API) replayResponse(w http.ResponseWriter, r *http.Request, c claim.Claim, req *dispatch.Request) {
	body, err := a.config.Claims.Answer(r.Context(), c)
	if err != nil || !c.Outcome.Whole {
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
	a.config.Observer.RequestEnded(req.Class, dispatch.Result{Outcome: dispatch.Whole}, time.Since(req.Arrived))
}

// endBefore ends a request that was received but is not dispatched.
func (a *API) endWithoutDispatch(w http.ResponseWriter, req *dispatch.Request, e apiError) {
	reason := e.reason
	if reason == "" {
		reason = e.code
	}
	result := dispatch.Result{Outcome: e.outcome, Reason: reason}
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
	var lost *claim.LostError
	switch {
	case errors.Is(err, claim.ErrKeyReused):
		return apiError{
			status:  http.StatusUnprocessableEntity,
			code:    "idempotency_key_reused",
			message: "the idempotency key was used for a different request",
			outcome: dispatch.NotRun,
		}
	case errors.As(err, &lost):
		return inProgressError()
	default:
		return notRunError("claim_unavailable", busyRetryAfter)
	}
}

// settle records how claimed work ended, after the answer was given.
func (a *API) settleClaim(ctx context.Context, claimed *claimGuard, result dispatch.Result, rec *responseRecorder) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	var err error
	switch {
	case result.Outcome == dispatch.Whole:
		_, err = a.config.Claims.Finish(ctx, claimed.claim, claim.Outcome{Whole: true, Status: rec.status, ContentType: rec.Header().Get("Content-Type"), Answer: rec.recordedBody()})
	case result.Outcome == dispatch.NotRun, result.Outcome == dispatch.Rejected, !result.Sent:
		err = a.config.Claims.Release(ctx, claimed.claim)
	}
	if err != nil {
		a.config.Log.Warn(logging.EventClaimNotSettled, logging.Request(claimed.claim.Attempt), logging.Reason(err.Error()))
	}
}
