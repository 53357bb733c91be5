package gateway_test

import (
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// Only a backend server's response may report success, even to OPTIONS *, which addresses the
// gateway itself.
func TestOptionsAsteriskIsNoSuccess(t *testing.T) {
	f, _ := newServingFixture(t, gateway.Options{})
	c := dialRaw(t, f)
	c.send(requestHead("OPTIONS", "*", "1"))
	if got := c.receive("OPTIONS"); got.Status == 0 || unsignedSuccess(got) {
		t.Errorf("got %+v", got)
	}
}
