package router

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
)

// discardObserver is an Observer that ignores all events.
type discardObserver struct{ Observer }

func (discardObserver) RequestEnded(RequestResult) {}

// Guards against a revoked key that passes while the state that revokes it comes into force: the old
// state, read before, must not count as fresh by the confirmation of the new one.
func TestRevokedKeyDoesNotPassDuringUpdate(t *testing.T) {
	allRoutes := []*routes.Route{{Name: "r", Host: "h.example", Prefix: "/x/"}}
	before := routes.NewSnapshot(1, routes.Limits{}, allRoutes, nil, routes.Access{Customers: []*routes.Customer{{Name: "c", Keys: []string{"key"}}}})
	after := routes.NewSnapshot(2, routes.Limits{}, allRoutes, nil, routes.Access{Customers: []*routes.Customer{{Name: "c"}}})
	for i := range 20000 {
		r := newTestRouter()
		r.Observer = discardObserver{}
		r.SetBounds(Bounds{MaxStateAge: time.Minute})
		r.Holder.Update(before, boottime.Now()-time.Hour)
		req := httptest.NewRequest(http.MethodPost, "http://h.example/x/", nil)
		c := &call{router: r, w: httptest.NewRecorder(), req: req, params: protocol.RequestInfo{ID: "1", Key: "key"}, arrivedAt: time.Now()}
		var update conc.WaitGroup
		update.Go(func() { r.Holder.Update(after, boottime.Now()) })
		passed := c.matchAndAuthorize()
		update.Wait()
		if passed {
			t.Fatalf("a revoked key passed in update %d", i)
		}
	}
}
