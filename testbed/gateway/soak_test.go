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
	soakDuration = 6 * time.Second
	// soakSeed seeds the choice of faults; which requests they affect depends on the
	// scheduler.
	soakSeed = 1
	// soakEvents is the number of events of a complete stream.
	soakEvents = 8
)

// soak injects random faults of the servers and the store under load on all types of routes,
// and records which requests were executed.
type soak struct {
	t       *testing.T
	fixture *gateway.Fixture
	// mu guards the fields below; no other lock is acquired while it is held.
	mu         sync.Mutex
	random     *rand.Rand
	executions map[string]int
	responses  map[string]int
}

// Checks these invariants under random faults: each response belongs to its caller, and is
// complete or recognizably incomplete; non-repeatable requests run at most once; requests
// rejected as not executed didn't run.
func TestFaultSoak(t *testing.T) {
	s := &soak{t: t, fixture: gateway.NewFixture(t, gateway.Options{}), random: rand.New(rand.NewPCG(soakSeed, 1)), executions: map[string]int{}, responses: map[string]int{}}
	var servers []*gateway.Server
	for i := range 4 {
		servers = append(servers, s.fixture.StartServer(fmt.Sprintf("i-%d", i), s.respond))
	}
	s.fixture.WaitFor("the gateway to serve", func() bool { return s.fixture.Post("/safe/x", "warm").Status == 200 })
	deadline := time.Now().Add(soakDuration)
	var workers sync.WaitGroup
	workers.Go(func() { s.injectFaults(servers, deadline) })
	for caller := range 12 {
		workers.Go(func() {
			for n := 0; time.Now().Before(deadline); n++ {
				s.sendAndCheck(fmt.Sprintf("c%d-%d", caller, n))
			}
		})
	}
	workers.Wait()
	t.Logf("responses by route and status: %v", s.responses)
	for _, kind := range []string{"/safe/ 200", "/unsafe/ 200", "/stream/ 200", "/resume/ 200"} {
		if s.responses[kind] == 0 {
			t.Errorf("no request was served: %s", kind)
		}
	}
}

// randomInt returns a random number below n.
func (s *soak) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// injectFaults changes the behavior of the servers and the store at random until a time.
func (s *soak) injectFaults(servers []*gateway.Server, deadline time.Time) {
	scripts := []gateway.Script{s.respond, s.respond, s.respond, gateway.Reject(503), s.recorded(gateway.CloseConnection), s.recorded(gateway.Hang), s.recorded(gateway.Fail(500)), s.recorded(s.closeMidResponse), s.recorded(s.respondTwice)}
	faults := []rowstore.Fault{rowstore.NoFault, rowstore.NoFault, rowstore.Unavailable, rowstore.Reset, rowstore.StaleFeeds, rowstore.Unresponsive}
	for version := 2; time.Now().Before(deadline); version++ {
		server := servers[s.randomInt(len(servers))]
		server.SetScript(scripts[s.randomInt(len(scripts))])
		switch s.randomInt(6) {
		case 0:
			s.fixture.Store.SetFault(faults[s.randomInt(len(faults))])
		case 1:
			s.fixture.Store.Delete("servers", server.Instance)
			s.fixture.ListServer(server, "ready")
		case 2:
			s.fixture.Store.TruncateHistory()
		case 3:
			s.fixture.PutState(version, "", "")
		}
		time.Sleep(30 * time.Millisecond)
	}
	s.fixture.Store.SetFault(rowstore.NoFault)
}

// sendAndCheck sends one request and checks the invariants on its response.
func (s *soak) sendAndCheck(id string) {
	kind := []string{"/safe/", "/unsafe/", "/stream/", "/resume/"}[s.randomInt(4)]
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Duration(100+s.randomInt(900))*time.Millisecond)
	defer cancel()
	req := s.fixture.Request(ctx, http.MethodPost, kind+id, id, nil)
	req.Header.Set("X-Deadline-Ms", "700")
	got := s.fixture.Do(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	if got.Err == nil {
		s.responses[fmt.Sprintf("%s %d", kind, got.Status)]++
	}
	if (kind == "/unsafe/" || kind == "/stream/") && s.executions[id] > 1 {
		s.t.Errorf("%s %s ran %d times", kind, id, s.executions[id])
	}
	if got.Status == http.StatusServiceUnavailable && s.executions[id] > 0 {
		s.t.Errorf("%s %s was rejected as not executed but ran", kind, id)
	}
	fullBody := "for " + id
	if kind == "/stream/" || kind == "/resume/" {
		fullBody = streamBody(id, 0)
	}
	if got.Status == http.StatusOK && got.Err == nil && got.Body != fullBody {
		s.t.Errorf("%s %s has the body %q, want %q", kind, id, got.Body, fullBody)
	}
	if got.Status == http.StatusOK && !strings.HasPrefix(fullBody, got.Body) {
		s.t.Errorf("%s %s received another request's bytes: %q", kind, id, got.Body)
	}
}

// streamBody returns the events of a request's stream that follow an event ID.
func streamBody(id string, after int) string {
	text := ""
	for n := after + 1; n <= soakEvents; n++ {
		text += fmt.Sprintf("id: %d\ndata: for %s\n\n", n, id)
	}
	return text
}

// recorded returns a script that records the request as executed and then responds as the
// given script does.
func (s *soak) recorded(script gateway.Script) gateway.Script {
	return func(c net.Conn, r *gateway.ReceivedRequest) bool {
		s.mu.Lock()
		s.executions[r.ID]++
		s.mu.Unlock()
		return script(c, r)
	}
}

// completeBody returns the body of a complete response to a request.
func completeBody(r *gateway.ReceivedRequest) string {
	if strings.HasPrefix(r.Target, "/stream/") || strings.HasPrefix(r.Target, "/resume/") {
		var after int
		// A missing or invalid header means a start from the first event.
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
		return streamBody(r.ID, after)
	}
	return "for " + r.ID
}

// respond executes a request and sends a complete response.
func (s *soak) respond(c net.Conn, r *gateway.ReceivedRequest) bool {
	return s.recorded(gateway.Respond(completeBody(r)))(c, r)
}

// closeMidResponse closes the connection in the middle of the response.
func (s *soak) closeMidResponse(c net.Conn, r *gateway.ReceivedRequest) bool {
	fullBody := completeBody(r)
	_, _ = c.Write([]byte(gateway.ResponseHead(r, 200, fmt.Sprintf("Content-Length: %d", len(fullBody))) + fullBody[:len(fullBody)/2]))
	return false
}

// respondTwice sends a complete response followed by one that belongs to no request.
func (s *soak) respondTwice(c net.Conn, r *gateway.ReceivedRequest) bool {
	unsolicited := *r
	unsolicited.ID = "nobody"
	return gateway.Respond(completeBody(r))(c, r) && gateway.Respond("for nobody")(c, &unsolicited)
}
