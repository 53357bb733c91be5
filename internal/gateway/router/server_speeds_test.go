package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/exchange"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

// Guards against a sample that shows what was prefilled between a stream's events, or what the first of
// very many events were like, and against keeping all intervals of a long stream.
func TestLowerQuintileOfIntervals(t *testing.T) {
	add := func(e *eventIntervals, n int, interval time.Duration) {
		for range n {
			e.add(interval)
		}
	}
	var few eventIntervals
	add(&few, minIntervals-1, 12*time.Millisecond)
	if got := few.lowerQuintile(); got != 0 {
		t.Errorf("%v of %d intervals", got, minIntervals-1)
	}
	add(&few, 1, 12*time.Millisecond)
	if got := few.lowerQuintile(); got != 12*time.Millisecond {
		t.Errorf("%v of %d intervals", got, minIntervals)
	}
	// Most intervals are lengthened by prefill, and one event arrived together with the previous one.
	var stalled eventIntervals
	add(&stalled, 1, 10*time.Microsecond)
	add(&stalled, 30, 90*time.Millisecond)
	add(&stalled, 19, 12*time.Millisecond)
	if got := stalled.lowerQuintile(); got != 12*time.Millisecond {
		t.Errorf("%v with prefill between most events, want 12ms", got)
	}
	var long eventIntervals
	add(&long, maxIntervals-1, 12*time.Millisecond)
	if long.complete() {
		t.Errorf("complete with %d intervals", len(long.intervals))
	}
	add(&long, 1, 12*time.Millisecond)
	if got := long.takeSample(); got != 12*time.Millisecond {
		t.Errorf("%v of the first %d intervals of a long stream, want 12ms", got, maxIntervals)
	}
	add(&long, maxIntervals, 24*time.Millisecond)
	if !long.complete() || len(long.intervals) != maxIntervals {
		t.Errorf("complete: %v with %d intervals since the sample", long.complete(), len(long.intervals))
	}
	if got := long.takeSample(); got != 24*time.Millisecond {
		t.Errorf("%v of the newest %d intervals of a long stream, want 24ms", got, maxIntervals)
	}
}

// Guards against samples of streams that tell nothing about one server's speed: those that were sent to
// several servers, that were resumed, that weren't completed, and comments between events.
func TestWhichStreamsGiveEventIntervals(t *testing.T) {
	const interval = 10 * time.Millisecond
	events := func(separator string, n int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for range n {
				time.Sleep(interval)
				_, _ = w.Write([]byte(separator))
				flush(w)
			}
		}
	}
	broken := func(w http.ResponseWriter, r *http.Request) {
		events("data: a\n\n", 12)(w, r)
		panic(http.ErrAbortHandler)
	}
	cases := map[string]struct {
		handler     http.HandlerFunc
		sends       int
		lastEventID string
		want        bool
	}{
		"a complete stream":      {events("data: a\n\n", 12), 1, "", true},
		"a short stream":         {events("data: a\n\n", 6), 1, "", false},
		"comments only":          {events(": wait\n\n", 12), 1, "", false},
		"a stream of two sends":  {events("data: a\n\n", 12), 2, "", false},
		"a resumed stream":       {events("data: a\n\n", 12), 1, "5", false},
		"a stream cut off early": {broken, 1, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			samples := relayStream(t, c.handler, c.sends, c.lastEventID)
			if got := len(samples) == 1; got != c.want || len(samples) > 1 {
				t.Fatalf("%d samples %v, want one: %v", len(samples), samples, c.want)
			}
			if c.want && (samples[0].Interval < interval/2 || samples[0].Interval > 10*interval || samples[0].Server != policy.KeyOf("i-1") || samples[0].Service != policy.KeyOf("s")) {
				t.Errorf("sample %+v", samples[0])
			}
		})
	}
}

// relayStream relays one stream of a server with the given handler, and returns the event intervals that
// other gateways would receive.
func relayStream(t *testing.T, handler http.HandlerFunc, sends int, lastEventID string) []policy.EventInterval {
	t.Helper()
	httpServer := httptest.NewServer(handler)
	t.Cleanup(httpServer.Close)
	r := newTestRouter()
	r.Observer, r.Dialect, r.Pool = &countingObserver{}, plainDialect{}, exchange.NewPool()
	var server backend.Server
	req := httptest.NewRequest(http.MethodPost, "http://h.example/x/", nil)
	c := &call{
		router: r, w: httptest.NewRecorder(), req: req, arrivedAt: time.Now(), deadline: time.Now().Add(time.Minute),
		route: &routes.Route{Kind: routes.KindStream}, service: "s", serverID: "i-1", sends: sends,
	}
	c.params.LastEventID = lastEventID
	request := &exchange.Request{Method: http.MethodPost, Target: "/x/", Host: "h", Matches: func(http.Header) bool { return true }}
	response, err := r.Pool.Do(t.Context(), exchange.ServerInstance{Addr: httpServer.Listener.Addr().String()}, request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Abort()
	tracked := &trackedRequest{InFlight: server.Load.Track(0, policy.PrefillPlan{}), call: c, server: &server, sentAt: time.Now()}
	defer tracked.Finish()
	c.handleResponse(t.Context(), response, protocol.ResponseInfo{Signed: true}, tracked)
	return r.TakeUpdates().EventIntervals
}

// Guards against datagrams that grow with the number of streams: there is one sample for each server, the
// mean, and samples of at most policy.MaxEventIntervals servers.
func TestOneEventIntervalPerServer(t *testing.T) {
	var b updateBuffer
	for i := range 3 * maxBufferedSamples {
		b.addEventInterval(policy.EventInterval{Service: 9, Server: 1, Interval: time.Duration(10+2*(i%2)) * time.Millisecond})
		b.addEventInterval(policy.EventInterval{Service: 9, Server: policy.Key(2 + i), Interval: 20 * time.Millisecond})
	}
	b.addEventInterval(policy.EventInterval{Service: 10, Server: 1, Interval: time.Hour})
	taken := b.takeAll()
	samples := taken.meanEventIntervals()
	if len(samples) != policy.MaxEventIntervals {
		t.Errorf("%d samples", len(samples))
	}
	if samples[0] != (policy.EventInterval{Service: 9, Server: 1, Interval: 11 * time.Millisecond}) || samples[1].Interval != 20*time.Millisecond {
		t.Errorf("samples %+v", samples[:2])
	}
	if again := b.takeAll(); len(again.meanEventIntervals()) != 0 {
		t.Error("samples are sent twice")
	}
}

// speedTest is a router with servers a to h, of which a takes half as long for an event as the others.
type speedTest struct {
	*testing.T
	router    *Router
	instances map[string]policy.Key
}

var speedTestServers = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// choose has the router choose a server, and returns the servers as the policy saw them.
func (s *speedTest) choose() map[string]float64 {
	loads := make([]policy.Server, 0, len(speedTestServers))
	for _, name := range speedTestServers {
		if instance, listed := s.instances[name]; listed {
			loads = append(loads, policy.Server{Name: name, Instance: instance, Slots: 8})
		}
	}
	s.router.runChooser("s", policy.Job{Urgency: 3, Target: 250 * time.Millisecond, Tokens: 800}, 0, loads, true)
	slowdowns := map[string]float64{}
	for _, load := range loads {
		slowdowns[load.Name] = load.Slowdown
	}
	return slowdowns
}

// report has another gateway report event intervals over three seconds.
func (s *speedTest) report() {
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		var update policy.PeerUpdate
		for _, name := range speedTestServers {
			interval := 24 * time.Millisecond
			if name == "a" {
				interval = 12 * time.Millisecond
			}
			update.EventIntervals = append(update.EventIntervals, policy.EventInterval{Service: policy.KeyOf("s"), Server: policy.KeyOf(name), Interval: interval})
		}
		update.EventIntervals = append(update.EventIntervals, policy.EventInterval{Service: policy.KeyOf("s"), Server: policy.KeyOf("unlisted"), Interval: time.Microsecond}, policy.EventInterval{Service: policy.KeyOf("unknown"), Server: policy.KeyOf("b"), Interval: time.Microsecond})
		s.router.MergeUpdates(update)
	}
}

// Guards against gateways that learn a server's speed from their own streams only, and against what is
// known of a server that outlives its instance: one that was removed, or started again, is unknown.
func TestSpeedsReportedByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &speedTest{T: t, router: newTestRouter(), instances: map[string]policy.Key{}}
		for i, name := range speedTestServers {
			s.instances[name] = policy.Key(100 + i)
		}
		for name, slowdown := range s.choose() {
			if slowdown != 1 {
				t.Errorf("slowdown %.2f of %s before the first sample", slowdown, name)
			}
		}
		s.report()
		s.checkKnown(true)
		if faster, slower := s.router.DistinguishedServers(); faster != 1 || slower != 0 {
			t.Errorf("%d faster and %d slower servers, want 1 and 0", faster, slower)
		}
		if state := s.router.services["s"]; len(state.serverSpeeds.instances) != len(speedTestServers) {
			t.Errorf("%d servers are stored", len(state.serverSpeeds.instances))
		}
		s.instances["a"]++
		s.checkKnown(false)
		s.report()
		s.checkKnown(true)
		s.router.ForgetServer("a")
		s.checkKnown(false)
		s.report()
		s.checkKnown(true)
		// Without a notice of its removal, the list alone tells.
		instance := s.instances["a"]
		delete(s.instances, "a")
		s.choose()
		s.instances["a"] = instance
		s.checkKnown(false)
	})
}

// checkKnown checks whether server a is known to be twice as fast as the others.
func (s *speedTest) checkKnown(known bool) {
	s.Helper()
	slowdowns := s.choose()
	if got := slowdowns["a"]; known && got > 0.6 || !known && got != 1 {
		s.Errorf("slowdown %.2f of a, known: %v", got, known)
	}
	if got := slowdowns["b"]; got < 1 || got > 1.1 {
		s.Errorf("slowdown %.2f of b", got)
	}
}

// Guards against a gateway that doesn't use its own streams: with no peers it has no other samples.
func TestOwnStreamsAreObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &speedTest{T: t, router: newTestRouter(), instances: map[string]policy.Key{"a": 1, "b": 2, "c": 3, "d": 4}}
		s.choose()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			for name := range s.instances {
				c := &call{router: s.router, service: "s", serverID: name, sends: 1}
				interval := 24 * time.Millisecond
				if name == "a" {
					interval = 12 * time.Millisecond
				}
				for range minIntervals {
					c.stream.intervals.add(interval)
				}
				s.router.observeEventInterval(c)
			}
		}
		if slowdowns := s.choose(); slowdowns["a"] > 0.6 || slowdowns["b"] < 1 {
			t.Errorf("slowdowns %v, a is twice as fast", slowdowns)
		}
	})
}

// Guards against slowdowns that operators can't assign to servers.
func TestServerSlowdownsByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &speedTest{T: t, router: newTestRouter(), instances: map[string]policy.Key{}}
		s.router.Registry = backend.NewRegistry()
		var infos []backend.Info
		for i, name := range speedTestServers {
			s.instances[name] = policy.Key(i + 1)
			infos = append(infos, backend.Info{ID: name, Addr: fmt.Sprintf("10.0.0.%d:1", i+1), Service: "s"})
		}
		s.router.Registry.SeedFromPeer(infos)
		s.choose()
		s.report()
		slowdowns := s.router.ServerSlowdowns()
		if len(slowdowns["s"]) != len(speedTestServers) || slowdowns["s"]["a"] > 0.6 || slowdowns["s"]["b"] < 1 {
			t.Errorf("slowdowns %v, a is twice as fast as the others", slowdowns)
		}
	})
}
