package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against a large desired state that never takes effect over a slow link: the gateway
// must not abandon a response that is still arriving, however long the call has taken and
// however long ago the previous state was last confirmed as current.
func TestLargeStateOverSlowLink(t *testing.T) {
	t.Parallel()
	const (
		// bytesPerSecond is a tenth of a 10 Mbit/s link, so that a tenth of the size of the
		// largest states suffices.
		bytesPerSecond = 125_000
		routes         = 3_000
	)
	for name, o := range map[string]gateway.Options{
		"no strict revocation": {StoreBytesPerSecond: bytesPerSecond},
		"strict revocation":    {StoreBytesPerSecond: bytesPerSecond, Revoke: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := gateway.NewFixture(t, o)
			f.StartServer("i-1", gateway.Respond("whole"))
			f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == 200 })
			var extraRoutes strings.Builder
			for n := range routes {
				fmt.Fprintf(&extraRoutes, `,{"name":"more-%d","host":"h.example","prefix":"/more-%d/","type":"safe","timeout-ms":2000,"slo-ms":100,"service":"plain","attempts":2,"public":true}`, n, n)
			}
			f.PutState(2, extraRoutes.String(), "")
			f.WaitFor("the large state to take effect", func() bool { return f.Post("/more-1/x", "more").Status == 200 })
		})
	}
}
