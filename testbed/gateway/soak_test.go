package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/rowstore"
)

const (
	// soakDuration is how long faults and load run; about 100,000 requests.
	soakFor = 6 * time.Second
	// soakSeed seeds the choice of faults; which requests they affect depends on the
	// scheduler.
	soakSeed = 1
	// soakEvents is the number of events of a complete stream.
	soakEvents = 8
)

// soak injects random faults of the servers and the store under load on all types of routes,
// and records which requests were executed.
type soak struct {
	t *testing.T
	f *gateway.Fleet
	// mu guards the fields below; no other lock is taken while it is held.
	mu     sync.Mutex
	random *rand.Rand
	ran    map[string]int
	served map[string]int
}

// Checks these invariants under random faults: each response belongs to its client, and is
// complete or recognizably incomplete; non-repeatable requests run at most once; requests
// rejected as not executed didn't run.
func TestFaultSoak(t *testing.T) {
	s := &soak{t: t, f: gateway.NewFleet(t, gateway.Options{}), random: rand.New(rand.NewPCG(soakSeed, 1)), ran: map[string]int{}, served: map[string]int{}}
	var servers []*gateway.Server
	for i := range 4 {
		servers = append(servers, s.f.Serve(fmt.Sprintf("i-%d", i), s.answer))
	}
	s.f.Wait("the gateway to serve", func() bool { return s.f.Call("/safe/x", "warm").Status == 200 })
	over := time.Now().Add(soakFor)
	var all sync.WaitGroup
	all.Go(func() { s.trouble(servers, over) })
	for caller := range 12 {
		all.Go(func() {
			for n := 0; time.Now().Before(over); n++ {
				s.call(fmt.Sprintf("c%d-%d", caller, n))
			}
		})
	}
	all.Wait()
	t.Logf("responses by route and status: %v", s.served)
	for _, kind := range []string{"/safe/ 200", "/unsafe/ 200", "/stream/ 200", "/resume/ 200"} {
		if s.served[kind] == 0 {
			t.Errorf("no request was served: %s", kind)
		}
	}
}

// randomInt returns a random number below n.
func (s *soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// injectFaults changes the behaviour of the servers and the store at random until a time.
func (s *soak) trouble(servers []*gateway.Server, over time.Time) {
	scripts := []gateway.Script{s.answer, s.answer, s.answer, gateway.Refuse(503), s.counted(gateway.Drop), s.counted(gateway.Hang), s.counted(gateway.Failure(500)), s.counted(s.half), s.counted(s.extra)}
	faults := []rowstore.Fault{rowstore.Well, rowstore.Well, rowstore.Busy, rowstore.Reset, rowstore.Mute, rowstore.Silent}
	for version := 2; time.Now().Before(over); version++ {
		server := servers[s.draw(len(servers))]
		server.Do(scripts[s.draw(len(scripts))])
		switch s.draw(6) {
		case 0:
			s.f.Store.SetFault(faults[s.draw(len(faults))])
		case 1:
			s.f.Store.Remove("servers", server.Instance)
			s.f.List(server, "ready")
		case 2:
			s.f.Store.Forget()
		case 3:
			s.f.Desire(version, "", "")
		}
		time.Sleep(30 * time.Millisecond)
	}
	s.f.Store.SetFault(rowstore.Well)
}

// call sends one request and checks the invariants on its response.
func (s *soak) call(id string) {
	kind := []string{"/safe/", "/unsafe/", "/stream/", "/resume/"}[s.draw(4)]
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Duration(100+s.draw(900))*time.Millisecond)
	defer cancel()
	req := s.f.Request(ctx, http.MethodPost, kind+id, id, nil)
	req.Header.Set("X-Deadline-Ms", "700")
	got := s.f.Do(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	if got.Err == nil {
		s.served[fmt.Sprintf("%s %d", kind, got.Status)]++
	}
	if (kind == "/unsafe/" || kind == "/stream/") && s.ran[id] > 1 {
		s.t.Errorf("%s %s ran %d times", kind, id, s.ran[id])
	}
	if got.Status == http.StatusServiceUnavailable && s.ran[id] > 0 {
		s.t.Errorf("%s %s was rejected as not executed but ran", kind, id)
	}
	whole := "for " + id
	if kind == "/stream/" || kind == "/resume/" {
		whole = stream(id, 0)
	}
	if got.Status == http.StatusOK && got.Err == nil && got.Body != whole {
		s.t.Errorf("%s %s has an unexpected body: %q", kind, id, got.Body)
	}
	if got.Status == http.StatusOK && !strings.HasPrefix(whole, got.Body) {
		s.t.Errorf("%s %s received another request's bytes: %q", kind, id, got.Body)
	}
}

// streamBody returns the events of a request's stream that follow an event ID.
func stream(id string, after int) string {
	text := ""
	for n := after + 1; n <= soakEvents; n++ {
		text += fmt.Sprintf("id: %d\ndata: for %s\n\n", n, id)
	}
	return text
}

// counted returns a script that records the request as executed and then responds as the given
// script does.
func (s *soak) counted(script gateway.Script) gateway.Script {
	return func(c net.Conn, a *gateway.Arrival) bool {
		s.mu.Lock()
		s.ran[a.ID]++
		s.mu.Unlock()
		return script(c, a)
	}
}

// completeBody returns the body of a complete response to a request.
func body(a *gateway.Arrival) string {
	if strings.HasPrefix(a.Target, "/stream/") || strings.HasPrefix(a.Target, "/resume/") {
		var after int
		// A missing or invalid header means a start from the first event.
		_, _ = fmt.Sscan(a.Header.Get("Last-Event-Id"), &after)
		return stream(a.ID, after)
	}
	return "for " + a.ID
}

// respond executes a request and sends a complete response.
func (s *soak) answer(c net.Conn, a *gateway.Arrival) bool {
	return s.counted(gateway.Answer(body(a)))(c, a)
}

// breakOff closes the connection in the middle of the response.
func (s *soak) half(c net.Conn, a *gateway.Arrival) bool {
	whole := body(a)
	_, _ = c.Write([]byte(gateway.Head(a, 200, fmt.Sprintf("Content-Length: %d", len(whole))) + whole[:len(whole)/2]))
	return false
}

// respondTwice sends a complete response followed by one that belongs to no request.
func (s *soak) extra(c net.Conn, a *gateway.Arrival) bool {
	stale := *a
	stale.ID = "nobody"
	return gateway.Answer(body(a))(c, a) && gateway.Answer("for nobody")(c, &stale)
}
