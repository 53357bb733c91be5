package gateway_test

import (
	"fmt"

	"github.com/applepier/applepier/testbed/gateway"
)

// callUntilSentTo sends up to 50 requests until the first attempt of one goes to the named
// server. It returns that request's response and number of attempts, or 0 attempts if none went
// there.
func callUntilSentTo(f *gateway.Fixture, path, server string) (resp gateway.Response, sends int) {
	for i := range 50 {
		id := fmt.Sprintf("try-%d", i)
		resp = f.Post(path, id)
		if received := f.ReceivedRequests(id); len(received) > 0 && received[0].Server == server {
			return resp, len(received)
		}
	}
	return resp, 0
}
