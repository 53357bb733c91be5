package gateway_test

import (
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// Only backend servers report success; this includes OPTIONS *, which concerns the gateway
// itself.
func TestOptionsOfTheWholeServerAreNoSuccess(t *testing.T) {
	f, _ := served(t, gateway.Options{})
	c := connect(t, f)
	c.send(head("OPTIONS", "*", "1"))
	if got := c.receive("OPTIONS"); got.Status == 0 || unsigned(got) {
		t.Errorf("got %+v", got)
	}
}
