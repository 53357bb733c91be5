package api

import (
	"net/http"
	"strings"
	"testing"

	"github.com/applepier/applepier/internal/claim"
	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/wire"
)

func endWith(o dispatch.Outcome) func(*dispatch.Request, dispatch.Sink) dispatch.Result {
	return func(*dispatch.Request, dispatch.Sink) dispatch.Result {
		return dispatch.Result{Outcome: o, Reason: "test", BodySent: true}
	}
}

func TestRetryOfFinishedCallReplaysResponse(t *testing.T) {
	api := newTestAPI(t)
	api.dispatcher.script = serveDocket
	api.postDocket("k")
	retry := api.postDocket("k")
	if retry.Code != http.StatusCreated || retry.Body.String() != "docket 1" || retry.Header().Get(headerIdempotencyReplayed) != "true" {
		t.Fatalf("got %d %q %v", retry.Code, retry.Body, retry.Header())
	}
	if api.dispatcher.runs != 1 {
		t.Fatalf("runs: got %d, want 1", api.dispatcher.runs)
	}
}

// Guards against a final error for a response that couldn't be read for a moment, and against an error
// that has Retry-After and forbids a retry.
func TestStoredResponseThatCannotBeReadNow(t *testing.T) {
	cases := map[string]struct {
		err  error
		code string
		// retries is whether the caller should send the call again.
		retries bool
	}{
		"not readable now": {claim.ErrUnavailable, "response_unavailable", true},
		"not stored":       {claim.ErrResponseNotStored, "already_run", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			api := newTestAPI(t)
			api.dispatcher.script = serveDocket
			api.postDocket("k")
			api.claims.responseErr = tc.err
			retry := api.postDocket("k")
			if retry.Code != http.StatusConflict || !strings.Contains(retry.Body.String(), tc.code) || retry.Header().Get(HeaderOutcome) != string(dispatch.Unknown) {
				t.Errorf("got %d %s %v, want 409 %s", retry.Code, retry.Body, retry.Header(), tc.code)
			}
			if retries := retry.Header().Get("Retry-After") != "" && retry.Header().Get("X-Should-Retry") != "false"; retries != tc.retries {
				t.Errorf("the caller should retry: %v, want %v; %v", retries, tc.retries, retry.Header())
			}
			api.claims.responseErr = nil
			if retry := api.postDocket("k"); retry.Code != http.StatusCreated || retry.Body.String() != "docket 1" {
				t.Errorf("once it can be read: %d %s", retry.Code, retry.Body)
			}
			if api.dispatcher.runs != 1 {
				t.Errorf("%d runs, want 1", api.dispatcher.runs)
			}
		})
	}
}

// Guards against a second run of a call whose first run may have happened: the retry runs
// only if the recorded grant was voided.
func TestRetryOfCallWithUnknownOutcome(t *testing.T) {
	cases := []struct {
		name    string
		void    wire.VoidResult
		code    int
		outcome dispatch.Outcome
		runs    int
	}{
		{"grant was used", wire.VoidStarted, http.StatusConflict, dispatch.Unknown, 1},
		{"agent has restarted", wire.VoidUnknown, http.StatusGatewayTimeout, dispatch.Unknown, 1},
		{"agent can't be asked", "", http.StatusGatewayTimeout, dispatch.Unknown, 1},
		{"grant is voided", wire.VoidDone, http.StatusCreated, "", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			api := newTestAPI(t)
			api.voider.result = tc.void
			api.dispatcher.script = endWith(dispatch.Unknown)
			api.postDocket("k")
			api.dispatcher.script = serveDocket
			retry := api.postDocket("k")
			if retry.Code != tc.code || retry.Header().Get(HeaderOutcome) != string(tc.outcome) {
				t.Fatalf("got %d %q, want %d %q", retry.Code, retry.Header().Get(HeaderOutcome), tc.code, tc.outcome)
			}
			if api.dispatcher.runs != tc.runs {
				t.Fatalf("runs: got %d, want %d", api.dispatcher.runs, tc.runs)
			}
		})
	}
}

func TestCallThatWasNotRunCanBeRetried(t *testing.T) {
	api := newTestAPI(t)
	api.dispatcher.script = endWith(dispatch.NotRun)
	if first := api.postDocket("k"); first.Header().Get(HeaderOutcome) != string(dispatch.NotRun) || first.Header().Get("Retry-After") == "" {
		t.Fatalf("got %d %v", first.Code, first.Header())
	}
	api.dispatcher.script = serveDocket
	if retry := api.postDocket("k"); retry.Code != http.StatusCreated {
		t.Fatalf("got %d %s", retry.Code, retry.Body)
	}
}

func TestClaimedCallIsNotRunWhileClaimStoreIsDown(t *testing.T) {
	api := newTestAPI(t)
	api.table.SetUnavailable(true)
	w := api.postDocket("k")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(HeaderOutcome) != string(dispatch.NotRun) || api.dispatcher.runs != 0 {
		t.Fatalf("got %d %v after %d runs", w.Code, w.Header(), api.dispatcher.runs)
	}
}

func TestClaimedCallIsNeverRepeatable(t *testing.T) {
	api := newTestAPI(t)
	repeatable := true
	api.dispatcher.script = func(req *dispatch.Request, sink dispatch.Sink) dispatch.Result {
		repeatable = req.Repeatable
		return serveDocket(req, sink)
	}
	api.postDocket("k")
	if repeatable {
		t.Fatal("a call with an idempotency key may be sent twice")
	}
}
