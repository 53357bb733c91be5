package api

import (
	"net/http"
	"testing"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/wire"
)

func endWith(o dispatch.Outcome) func(*dispatch.Request, dispatch.Sink) dispatch.Result {
	return func(*dispatch.Request, dispatch.Sink) dispatch.Result {
		return dispatch.Result{Outcome: o, Reason: "test", Sent: true}
	}
}

func TestRetryOfFinishedCallReplaysResponse(t *testing.T) {
	r := newTestAPI(t)
	r.dispatcher.script = serveDocket
	r.postDocket("k")
	retry := r.postDocket("k")
	if retry.Code != http.StatusCreated || retry.Body.String() != "docket 1" || retry.Header().Get(headerIdempotencyReplayed) != "true" {
		t.Fatalf("got %d %q %v", retry.Code, retry.Body, retry.Header())
	}
	if r.dispatcher.runs != 1 {
		t.Fatalf("runs: got %d, want 1", r.dispatcher.runs)
	}
}

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
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestAPI(t)
			r.voider.result = c.void
			r.dispatcher.script = endWith(dispatch.Unknown)
			r.postDocket("k")
			r.dispatcher.script = serveDocket
			retry := r.postDocket("k")
			if retry.Code != c.code || retry.Header().Get(HeaderOutcome) != string(c.outcome) {
				t.Fatalf("got %d %q, want %d %q", retry.Code, retry.Header().Get(HeaderOutcome), c.code, c.outcome)
			}
			if r.dispatcher.runs != c.runs {
				t.Fatalf("runs: got %d, want %d", r.dispatcher.runs, c.runs)
			}
		})
	}
}

func TestCallThatWasNotRunCanBeRetried(t *testing.T) {
	r := newTestAPI(t)
	r.dispatcher.script = endWith(dispatch.NotRun)
	if first := r.postDocket("k"); first.Header().Get(HeaderOutcome) != string(dispatch.NotRun) || first.Header().Get("Retry-After") == "" {
		t.Fatalf("got %d %v", first.Code, first.Header())
	}
	r.dispatcher.script = serveDocket
	if retry := r.postDocket("k"); retry.Code != http.StatusCreated {
		t.Fatalf("got %d %s", retry.Code, retry.Body)
	}
}

func TestClaimedCallIsNotRunWhileClaimStoreIsDown(t *testing.T) {
	r := newTestAPI(t)
	r.table.SetDown(true)
	w := r.postDocket("k")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(HeaderOutcome) != string(dispatch.NotRun) || r.dispatcher.runs != 0 {
		t.Fatalf("got %d %v after %d runs", w.Code, w.Header(), r.dispatcher.runs)
	}
}

func TestClaimedCallIsNeverRepeatable(t *testing.T) {
	r := newTestAPI(t)
	repeatable := true
	r.dispatcher.script = func(req *dispatch.Request, sink dispatch.Sink) dispatch.Result {
		repeatable = req.Repeatable
		return serveDocket(req, sink)
	}
	r.postDocket("k")
	if repeatable {
		t.Fatal("a call with an idempotency key may be sent twice")
	}
}
