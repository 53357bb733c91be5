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
	deadly = "deadly"
	// restartDelay is the time until a crashed server is replaced.
	backAfter = 300 * time.Millisecond
)

// crashableServers are servers that crash on a request with crashBody and restart under
// another instance ID. script responds to all other requests.
type mortal struct {
	f      *gateway.Fleet
	script gateway.Script
	// mu guards the fields below; no other lock is taken while it is held.
	mu      sync.Mutex
	started int
	crashed int
}

// startCrashableServers starts servers and lists them in the fixture's store.
func newMortal(f *gateway.Fleet, servers int, script gateway.Script) *mortal {
	m := &mortal{f: f, script: script}
	for range servers {
		m.start()
	}
	return m
}

// start starts and lists one more server.
func (m *mortal) start() {
	m.mu.Lock()
	m.started++
	instance := fmt.Sprintf("m-%d", m.started)
	m.mu.Unlock()
	self := make(chan *gateway.Server, 1)
	self <- m.f.Serve(instance, func(c net.Conn, a *gateway.Arrival) bool {
		if a.Body != deadly {
			return m.script(c, a)
		}
		select {
		case s := <-self:
			m.crash(s)
		default:
			// The server has crashed already.
		}
		return false
	})
}

// crash stops a server and starts a replacement after restartDelay.
func (m *mortal) crash(s *gateway.Server) {
	s.Stop()
	m.mu.Lock()
	m.crashed++
	m.mu.Unlock()
	time.AfterFunc(backAfter, func() {
		m.f.Store.Remove("servers", s.Instance)
		m.start()
	})
}

// crashes returns the number of crashes so far.
func (m *mortal) crashes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashed
}

// postBody sends a POST with a body.
func ask(f *gateway.Fleet, path, id, body string) gateway.Got {
	return f.Do(f.Request(context.Background(), http.MethodPost, path, id, strings.NewReader(body)))
}
