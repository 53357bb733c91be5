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

// reachedTwoServers reports whether requests with an ID reached exactly two servers.
func reachedTwoServers(f *gateway.Fixture, id string) bool {
	servers := map[string]bool{}
	for _, r := range f.ReceivedRequests(id) {
		servers[r.Server] = true
	}
	return len(servers) == 2
}

// reachedServer reports whether a request with an ID reached a server.
func reachedServer(f *gateway.Fixture, id, server string) bool {
	for _, r := range f.ReceivedRequests(id) {
		if r.Server == server {
			return true
		}
	}
	return false
}
