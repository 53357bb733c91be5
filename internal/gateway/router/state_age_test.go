package router

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
)

// resultRecorder is an Observer that keeps the last result.
type resultRecorder struct {
	discardObserver
	last RequestResult
}

func (r *resultRecorder) RequestEnded(result RequestResult) { r.last = result }

// Guards against a desired state that counts as confirmed before it ever was: on a host that started less
// than the bound ago a revoked key would pass. The bound here is longer than any host has run.
func TestUnconfirmedStateIsNotFresh(t *testing.T) {
	r := newTestRouter()
	observer := &resultRecorder{}
	r.Observer = observer
	allRoutes := []*routes.Route{{Name: "r", Host: "h.example", Prefix: "/x/"}}
	snapshot := routes.NewSnapshot(1, routes.Limits{}, allRoutes, nil, routes.Access{Customers: []*routes.Customer{{Name: "c", Keys: []string{"key"}}}})
	r.SetBounds(Bounds{MaxStateAge: 100 * 365 * 24 * time.Hour})
	passes := func() bool {
		req := httptest.NewRequest(http.MethodPost, "http://h.example/x/", nil)
		c := &call{router: r, w: httptest.NewRecorder(), req: req, params: protocol.RequestInfo{ID: "1", Key: "key"}, arrivedAt: time.Now()}
		return c.matchAndAuthorize()
	}
	created := time.Now()
	r.Holder.Update(snapshot, 0)
	if r.StateFresh() || passes() {
		t.Error("a state that was never confirmed counts as fresh")
	}
	if age := observer.last.StateAge; age > time.Since(created)+time.Second {
		t.Errorf("the state is reported as %v old, but the router exists for less", age)
	}
	r.Holder.Confirm(1, boottime.Now())
	if !r.StateFresh() || !passes() {
		t.Error("a confirmed state doesn't count as fresh")
	}
	r.Holder.Update(routes.NewSnapshot(2, routes.Limits{}, allRoutes, nil, routes.Access{WithoutKeys: true}), 0)
	r.SetBounds(Bounds{})
	if !r.StateFresh() {
		t.Error("without a bound a state counts as old")
	}
}
