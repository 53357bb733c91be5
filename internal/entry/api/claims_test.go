package api

import (
	"net/http"
	"testing"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/wire"
)

func endsWith(o dispatch.Outcome) func(*dispatch.Request, dispatch.Sink) dispatch.Result {
	return func(*dispatch.Request, dispatch.Sink) dispatch.Result {
		return dispatch.Result{Outcome: o, Reason: "test", Sent: true}
	}
}

func TestRepeatOfAFinishedCallGetsItsAnswer(t *testing.T) {
	r := newRig(t)
	r.dispatcher.script = serveDocket
	r.docket("k")
	again := r.docket("k")
	if again.Code != http.StatusCreated || again.Body.String() != "docket 1" || again.Header().Get(headerReplayed) != "true" {
		t.Fatalf("got %d %q %v", again.Code, again.Body, again.Header())
	}
	if r.dispatcher.runs != 1 {
		t.Fatalf("runs: got %d, want 1", r.dispatcher.runs)
	}
}

func TestRepeatOfACallWithUnknownOutcome(t *testing.T) {
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
			r := newRig(t)
			r.grants.result = c.void
			r.dispatcher.script = endsWith(dispatch.Unknown)
			r.docket("k")
			r.dispatcher.script = serveDocket
			again := r.docket("k")
			if again.Code != c.code || again.Header().Get(HeaderOutcome) != string(c.outcome) {
				t.Fatalf("got %d %q, want %d %q", again.Code, again.Header().Get(HeaderOutcome), c.code, c.outcome)
			}
			if r.dispatcher.runs != c.runs {
				t.Fatalf("runs: got %d, want %d", r.dispatcher.runs, c.runs)
			}
		})
	}
}

func TestCallThatWasNotRunMayComeAgain(t *testing.T) {
	r := newRig(t)
	r.dispatcher.script = endsWith(dispatch.NotRun)
	if first := r.docket("k"); first.Header().Get(HeaderOutcome) != string(dispatch.NotRun) || first.Header().Get("Retry-After") == "" {
		t.Fatalf("got %d %v", first.Code, first.Header())
	}
	r.dispatcher.script = serveDocket
	if again := r.docket("k"); again.Code != http.StatusCreated {
		t.Fatalf("got %d %s", again.Code, again.Body)
	}
}

func TestKeyedCallIsNotRunWhileClaimsAreDown(t *testing.T) {
	r := newRig(t)
	r.table.SetDown(true)
	w := r.docket("k")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(HeaderOutcome) != string(dispatch.NotRun) || r.dispatcher.runs != 0 {
		t.Fatalf("got %d %v after %d runs", w.Code, w.Header(), r.dispatcher.runs)
	}
}

func TestKeyedCallIsNeverRepeatable(t *testing.T) {
	r := newRig(t)
	repeatable := true
	r.dispatcher.script = func(req *dispatch.Request, sink dispatch.Sink) dispatch.Result {
		repeatable = req.Repeatable
		return serveDocket(req, sink)
	}
	r.docket("k")
	if repeatable {
		t.Fatal("a call with an idempotency key may be sent twice")
	}
}
