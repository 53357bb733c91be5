package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/claim"
	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/entry/fleet"
	"github.com/applepier/applepier/internal/storage/storagetest"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

// fakeDispatcher ends each request as its script says and counts the runs.
type fakeDispatcher struct {
	script func(r *dispatch.Request, sink dispatch.Sink) dispatch.Result
	runs   int
}

func (d *fakeDispatcher) Do(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) dispatch.Result {
	if r.Guard != nil {
		if err := r.Guard.Take(ctx, "agent", "grant-"+r.ID); err != nil {
			return dispatch.Result{Outcome: dispatch.NotRun, Reason: "claim_unavailable", RetryAfter: time.Second}
		}
	}
	d.runs++
	return d.script(r, sink)
}

// fakeGrants answers Void as told; with nothing told the agent can't be asked.
type fakeGrants struct{ result wire.VoidResult }

func (g *fakeGrants) Void(context.Context, string, string) (wire.VoidResult, error) {
	if g.result == "" {
		return "", fleet.ErrNoAnswer
	}
	return g.result, nil
}

type fakeParts struct{}

func (fakeParts) Serves() []string { return []string{"apple"} }

func (fakeParts) Caller(*targets.Set, *http.Request) (string, error) { return "customer", nil }

func (fakeParts) Received(string) {}

func (fakeParts) Refused(string, string) {}

func (fakeParts) Ended(targets.Class, dispatch.Result, time.Duration) {}

// rig is an API over fakes, with claims in a table in memory.
type rig struct {
	dispatcher *fakeDispatcher
	grants     *fakeGrants
	table      *storagetest.Table
	router     *httprouter.Router
}

func newRig(t *testing.T) *rig {
	t.Helper()
	holder := targets.NewHolder()
	holder.Offer(&targets.Set{Version: 1, Classes: []targets.Class{
		{Name: "summary", Model: "apple", Tier: 4},
		{Name: "docket", Service: "ledger", Tier: 2},
	}})
	r := &rig{dispatcher: &fakeDispatcher{}, grants: &fakeGrants{}, table: storagetest.NewTable(), router: httprouter.New()}
	claimer := claim.NewClaimer(r.table)
	t.Cleanup(claimer.Close)
	New(Config{
		Holder:     holder,
		Dispatcher: r.dispatcher,
		Served:     fakeParts{},
		Auth:       fakeParts{},
		Claims:     claimer,
		Grants:     r.grants,
		Observer:   fakeParts{},
		Ring:       timeline.NewRing("entry", &timeline.Clock{}, 16),
		Log:        zap.NewNop(),
	}).Register(r.router)
	return r
}

func (r *rig) post(path, key, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if key != "" {
		req.Header.Set(HeaderIdempotencyKey, key)
	}
	w := httptest.NewRecorder()
	r.router.ServeHTTP(w, req)
	return w
}

func (r *rig) docket(key string) *httptest.ResponseRecorder {
	return r.post("/services/ledger/dockets", key, `{"weight":7}`)
}

// serveDocket answers a plain service's call whole.
func serveDocket(_ *dispatch.Request, sink dispatch.Sink) dispatch.Result {
	_ = sink.Frame(wire.Frame{Kind: wire.FrameHead, Status: http.StatusCreated, Header: []wire.Header{{Name: "Content-Type", Value: "text/plain"}}})
	_ = sink.Frame(wire.Frame{Kind: wire.FrameData, Data: []byte("docket 1")})
	return dispatch.Result{Outcome: dispatch.Whole, Sent: true}
}
