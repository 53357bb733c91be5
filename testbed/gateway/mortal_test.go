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
	// deadly is the body of a request that crashes each server that runs it.
	deadly = "deadly"
	// backAfter is how long a server that crashed is away.
	backAfter = 300 * time.Millisecond
)

// mortal are servers that crash under a deadly request, and start again under another
// id. Each other request is answered by script.
type mortal struct {
	f      *gateway.Fleet
	script gateway.Script
	// mu guards what follows; nothing is locked while it is held.
	mu      sync.Mutex
	started int
	crashed int
}

// newMortal starts servers, listed in the fleet's store.
func newMortal(f *gateway.Fleet, servers int, script gateway.Script) *mortal {
	m := &mortal{f: f, script: script}
	for range servers {
		m.start()
	}
	return m
}

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
			// It has crashed already.
		}
		return false
	})
}

// crash ends a server, and starts another in its place later.
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

func (m *mortal) crashes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashed
}

// ask calls with a body.
func ask(f *gateway.Fleet, path, id, body string) gateway.Got {
	return f.Do(f.Request(context.Background(), http.MethodPost, path, id, strings.NewReader(body)))
}
