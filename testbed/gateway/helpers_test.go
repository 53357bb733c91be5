package gateway_test

import (
	"fmt"

	"github.com/applepier/applepier/testbed/gateway"
)

// tryOn calls until a request's first arrival is at the named server, and
// returns what its caller got and how often it was sent.
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

// usedBoth reports whether requests with an id reached two servers.
func usedBoth(f *gateway.Fleet, id string) bool {
	servers := map[string]bool{}
	for _, a := range f.Arrivals(id) {
		servers[a.Server] = true
	}
	return len(servers) == 2
}

// usedServer reports whether a request with an id reached a server.
func usedServer(f *gateway.Fleet, id, server string) bool {
	for _, a := range f.Arrivals(id) {
		if a.Server == server {
			return true
		}
	}
	return false
}
