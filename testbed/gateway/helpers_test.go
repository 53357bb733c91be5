package gateway_test

import (
	"fmt"

	"github.com/applepier/applepier/testbed/gateway"
)

// callUntilSentTo sends requests until one is sent to the named server first. It returns the
// response and how often that request was sent, 0 if none of 50 was.
func tryOn(f *gateway.Fleet, path, server string) (got gateway.Got, sends int) {
	for i := range 50 {
		try := fmt.Sprintf("try-%d", i)
		got = f.Call(path, try)
		if a := f.Arrivals(try); len(a) > 0 && a[0].Server == server {
			return got, len(a)
		}
	}
	return got, 0
}

// reachedTwoServers reports whether requests with an ID reached exactly two servers.
func usedBoth(f *gateway.Fleet, id string) bool {
	servers := map[string]bool{}
	for _, a := range f.Arrivals(id) {
		servers[a.Server] = true
	}
	return len(servers) == 2
}

// reachedServer reports whether a request with an ID reached a server.
func usedServer(f *gateway.Fleet, id, server string) bool {
	for _, a := range f.Arrivals(id) {
		if a.Server == server {
			return true
		}
	}
	return false
}
