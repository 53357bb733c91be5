package gateway

import (
	"math/rand/v2"
	"net/http/httptest"
	"testing"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/policy"
)

// Guards against a response that scripts of operators can't read before the first request: it is an empty
// object then. The router's tests cover its content.
func TestServerSpeedsBeforeTheFirstRequest(t *testing.T) {
	registry := backend.NewRegistry()
	registry.SeedFromPeer([]backend.Info{{ID: "a", Addr: "10.0.0.1:1", Service: "chat"}, {ID: "b", Addr: "10.0.0.2:1", Service: "chat"}})
	g := &gateway{router: router.New(router.Config{
		Registry: registry, Random: rand.New(rand.NewPCG(1, 2)), Ejector: policy.NewEjector(), PrefixIndex: policy.NewPrefixIndex(),
		KnownGateways: func() int { return 1 },
	}, router.Bounds{}, func() bool { return false })}
	recorder := httptest.NewRecorder()
	g.handleServerSpeeds(recorder, nil, nil)
	if got := recorder.Body.String(); got != "{}\n" {
		t.Errorf("responded %q", got)
	}
}
