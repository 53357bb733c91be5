package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/testbed/gateway"
)

// A bound for keys that are taken away which is set while the gateway runs also
// changes how often the store is asked: asked as seldom as without one, it
// couldn't prove its state often enough, and would refuse callers.
func TestShorterBoundForKeysIsKeptWithoutRefusals(t *testing.T) {
	t.Parallel()
	f := gateway.NewFleet(t, gateway.Options{})
	f.Serve("i-1", gateway.Answer("whole"))
	f.Wait("it is served", func() bool { return f.Call("/safe/x", "warm").Status == 200 })
	f.Change(func(s *settings.Gateway) { s.Revoke = settings.Revoke{Strict: true, Within: 2 * time.Second} })
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := f.Call("/safe/x", "k"); got.Status != 200 {
			t.Fatalf("status %d (%s) while the store is well", got.Status, strings.TrimSpace(got.Body))
		}
	}
}
