package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against rejections after strict revocation is enabled at run time: at the previous,
// longer polling interval the gateway couldn't confirm its state often enough.
func TestEnablingStrictRevocationRejectsNoRequests(t *testing.T) {
	t.Parallel()
	f := gateway.NewFixture(t, gateway.Options{})
	f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == 200 })
	f.ChangeSettings(func(s *settings.Gateway) { s.Revocation = settings.Revocation{Strict: true, MaxDelay: 2 * time.Second} })
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := f.Post("/safe/x", "k"); got.Status != 200 {
			t.Fatalf("status %d (%s) while the store is healthy", got.Status, strings.TrimSpace(got.Body))
		}
	}
}
