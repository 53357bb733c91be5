package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against a large desired state that never takes effect over a slow link: a response
// that is being received must not be abandoned, regardless of the age of the call and of the
// last freshness proof.
func TestLargeStateComesOverANarrowLink(t *testing.T) {
	t.Parallel()
	const (
		// rate is a tenth of a 10 Mbit/s link, so that a tenth of the size of the largest
		// states suffices.
		rate   = 125_000
		routes = 3_000
	)
	for name, o := range map[string]gateway.Options{
		"no strict revocation": {StoreRate: rate},
		"strict revocation":    {StoreRate: rate, Revoke: 5e9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := gateway.NewFleet(t, o)
			f.Serve("i-1", gateway.Answer("whole"))
			f.Wait("the gateway to serve", func() bool { return f.Call("/safe/x", "warm").Status == 200 })
			var more strings.Builder
			for n := range routes {
				fmt.Fprintf(&more, `,{"name":"more-%d","host":"h.example","prefix":"/more-%d/","type":"safe","timeout-ms":2000,"slo-ms":100,"service":"plain","attempts":2,"public":true}`, n, n)
			}
			f.Desire(2, more.String(), "")
			f.Wait("the large state to take effect", func() bool { return f.Call("/more-1/x", "more").Status == 200 })
		})
	}
}
