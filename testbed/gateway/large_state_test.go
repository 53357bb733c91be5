package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// A desired state that takes seconds to come over a narrow link is taken into
// force when it has come: an answer that is on its way isn't given up, however
// long ago the call was made and however old the proof of the state before is.
func TestLargeStateComesOverANarrowLink(t *testing.T) {
	t.Parallel()
	const (
		// rate is a tenth of a link of 10 Mbit/s, so that a tenth of the largest
		// states is enough here.
		rate   = 125_000
		routes = 3_000
	)
	for name, o := range map[string]gateway.Options{
		"no bound on its proof":       {StoreRate: rate},
		"keys that may be taken away": {StoreRate: rate, Revoke: 5e9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := gateway.NewFleet(t, o)
			f.Serve("i-1", gateway.Answer("whole"))
			f.Wait("it is served", func() bool { return f.Call("/safe/x", "warm").Status == 200 })
			var more strings.Builder
			for n := range routes {
				fmt.Fprintf(&more, `,{"name":"more-%d","host":"h.example","prefix":"/more-%d/","type":"safe","timeout-ms":2000,"slo-ms":100,"service":"plain","attempts":2,"public":true}`, n, n)
			}
			f.Desire(2, more.String(), "")
			f.Wait("the large state is in force", func() bool { return f.Call("/more-1/x", "more").Status == 200 })
		})
	}
}
