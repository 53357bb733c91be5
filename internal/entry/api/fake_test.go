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

// fakeDispatcher returns the results of script and counts the runs.
type fakeDispatcher struct {
	script func(r *dispatch.Request, sink dispatch.Sink) dispatch.Result
	runs   int
}

func (d *fakeDispatcher) Do(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) dispatch.Result {
	if r.GrantRecorder != nil {
		if err := r.GrantRecorder.RecordGrant(ctx, "agent", "grant-"+r.ID); err != nil {
			return dispatch.Result{Outcome: dispatch.NotRun, Reason: "claim_unavailable", RetryAfter: time.Second}
		}
	}
	d.runs++
	return d.script(r, sink)
}

// fakeGrantVoider returns result from Void. Without a result the agent is unreachable.
type fakeGrantVoider struct{ result wire.VoidResult }

func (g *fakeGrantVoider) Void(context.Context, string, string) (wire.VoidResult, error) {
	if g.result == "" {
		return "", fleet.ErrNoResponse
	}
	return g.result, nil
}

// fakeClaims is a ClaimStore whose Response fails with responseErr if that is set.
type fakeClaims struct {
	ClaimStore
	responseErr error
}

func (c *fakeClaims) Response(ctx context.Context, earlier claim.Claim) ([]byte, error) {
	if c.responseErr != nil {
		return nil, c.responseErr
	}
	return c.ClaimStore.Response(ctx, earlier)
}

type stubDependencies struct{}

func (stubDependencies) Serves() []string { return []string{"apple"} }

func (stubDependencies) Customer(*targets.Set, *http.Request) (string, error) { return "customer", nil }

func (stubDependencies) RequestReceived(string) {}

func (stubDependencies) RequestRefused(string, string) {}

func (stubDependencies) RequestEnded(targets.Class, dispatch.Result, time.Duration) {}

// testAPI is an API with fake dependencies and claims in an in-memory table.
type testAPI struct {
	dispatcher *fakeDispatcher
	voider     *fakeGrantVoider
	claims     *fakeClaims
	table      *storagetest.Table
	router     *httprouter.Router
}

func newTestAPI(t *testing.T) *testAPI {
	t.Helper()
	cache := targets.NewCache()
	cache.UpdateIfNewer(&targets.Set{Version: 1, Classes: []targets.Class{
		{Name: "summary", Model: "apple", Tier: 4},
		{Name: "docket", Service: "ledger", Tier: 2},
	}})
	api := &testAPI{dispatcher: &fakeDispatcher{}, voider: &fakeGrantVoider{}, table: storagetest.NewTable(), router: httprouter.New()}
	claimer := claim.NewClaimer(api.table)
	t.Cleanup(claimer.Close)
	api.claims = &fakeClaims{ClaimStore: claimer}
	New(Config{
		Targets:    cache,
		Dispatcher: api.dispatcher,
		Catalog:    stubDependencies{},
		Auth:       stubDependencies{},
		Claims:     api.claims,
		Grants:     api.voider,
		Observer:   stubDependencies{},
		Timeline:   timeline.NewRing("entry", &timeline.Clock{}, 16),
		Log:        zap.NewNop(),
	}).Register(api.router)
	return api
}

func (api *testAPI) post(path, key, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if key != "" {
		req.Header.Set(HeaderIdempotencyKey, key)
	}
	w := httptest.NewRecorder()
	api.router.ServeHTTP(w, req)
	return w
}

func (api *testAPI) postDocket(key string) *httptest.ResponseRecorder {
	return api.post("/services/ledger/dockets", key, `{"weight":7}`)
}

// serveDocket sends a complete response to a service call.
func serveDocket(_ *dispatch.Request, sink dispatch.Sink) dispatch.Result {
	_ = sink.WriteFrame(wire.Frame{Kind: wire.FrameHeaders, Status: http.StatusCreated, Header: []wire.Header{{Name: "Content-Type", Value: "text/plain"}}})
	_ = sink.WriteFrame(wire.Frame{Kind: wire.FrameData, Data: []byte("docket 1")})
	return dispatch.Result{Outcome: dispatch.Completed, BodySent: true}
}
