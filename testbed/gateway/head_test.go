package gateway_test

import (
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// A response to HEAD has a Content-Length and no body; it is forwarded unchanged.
func TestAnswerToHeadIsPassedOn(t *testing.T) {
	f, server := served(t, gateway.Options{})
	server.Do(bytesOf(true, []string{"Content-Length: 5"}, 200, ""))
	caller := connect(t, f)
	caller.send(head("HEAD", "/unsafe/x", "head"))
	if got := caller.receive("HEAD"); got.Status != 200 || unsigned(got) || got.Header.Get("Content-Length") != "5" {
		t.Errorf("got %+v", got)
	}
}
