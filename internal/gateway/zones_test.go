package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/settings"
)

// Guards against a status that doesn't tell an absent price from one of 0.
func TestZonesStatusShowsPrice(t *testing.T) {
	zero := 0.0
	for want, price := range map[string]*float64{`{"price":null,"shares":[]}`: nil, `{"price":0,"shares":[]}`: &zero} {
		g := &gateway{settings: settings.Gateway{Zones: settings.Zones{Price: price}}, router: router.New(router.Config{}, router.Bounds{}, nil)}
		recorder := httptest.NewRecorder()
		g.serveZones(recorder, nil, nil)
		if got := strings.TrimSpace(recorder.Body.String()); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
