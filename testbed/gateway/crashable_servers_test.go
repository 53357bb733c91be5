package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

const (
	// crashBody is the body of a request that crashes each server that runs it.
	crashBody = "deadly"
	// restartDelay is the time until a crashed server is replaced.
	restartDelay = 300 * time.Millisecond
)

// crashableServers are servers that crash on a request with crashBody and restart under
// another instance ID. script responds to all other requests.
type crashableServers struct {
	fixture *gateway.Fixture
	script  gateway.Script
	// mu guards the fields below; no other lock is acquired while it is held.
	mu      sync.Mutex
	started int
	crashed int
}

// startCrashableServers starts servers and lists them in the fixture's store.
func startCrashableServers(f *gateway.Fixture, servers int, script gateway.Script) *crashableServers {
	cs := &crashableServers{fixture: f, script: script}
	for range servers {
		cs.start()
	}
	return cs
}

// start starts and lists one more server.
func (cs *crashableServers) start() {
	cs.mu.Lock()
	cs.started++
	instance := fmt.Sprintf("m-%d", cs.started)
	cs.mu.Unlock()
	self := make(chan *gateway.Server, 1)
	self <- cs.fixture.StartServer(instance, func(c net.Conn, r *gateway.ReceivedRequest) bool {
		if r.Body != crashBody {
			return cs.script(c, r)
		}
		select {
		case s := <-self:
			cs.crash(s)
		default:
			// The server has crashed already.
		}
		return false
	})
}

// crash stops a server and starts a replacement after restartDelay.
func (cs *crashableServers) crash(s *gateway.Server) {
	s.Stop()
	cs.mu.Lock()
	cs.crashed++
	cs.mu.Unlock()
	time.AfterFunc(restartDelay, func() {
		cs.fixture.Store.Delete("servers", s.Instance)
		cs.start()
	})
}

// crashes returns the number of crashes so far.
func (cs *crashableServers) crashes() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.crashed
}

// postBody sends a POST with a body.
func postBody(f *gateway.Fixture, path, id, body string) gateway.Response {
	return f.Do(f.Request(context.Background(), http.MethodPost, path, id, strings.NewReader(body)))
}
