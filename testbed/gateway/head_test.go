package gateway_test

import (
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// A response to HEAD has a Content-Length and no body; it is forwarded unchanged.
func TestHeadResponseIsForwarded(t *testing.T) {
	f, server := newServingFixture(t, gateway.Options{})
	server.SetScript(rawResponse(true, []string{"Content-Length: 5"}, 200, ""))
	caller := dialRaw(t, f)
	caller.send(requestHead("HEAD", "/unsafe/x", "head"))
	if got := caller.receive("HEAD"); got.Status != 200 || unsignedSuccess(got) || got.Header.Get("Content-Length") != "5" {
		t.Errorf("got %+v", got)
	}
}
