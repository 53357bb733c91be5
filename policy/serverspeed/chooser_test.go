package serverspeed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

// simulation plays requests without shared prefixes at servers, with many gateways that know the load
// as of the last update only.
type simulation struct {
	random     *rand.Rand
	estimators []*Estimator
	choosers   []*policy.Chooser
	// servers is the load now, and known the load as of the last update.
	servers, known []policy.Server
	streams        []stream
	// interval returns the time between events at a server with a number of running requests.
	interval func(server, running int) time.Duration
	// sent counts the requests by server, and peak is the largest number that runs at each.
	sent, peak []int
	refused    int
}

// stream is a running stream.
type stream struct {
	server   int
	end      time.Time
	interval time.Duration
}

const (
	simulatedSlots   = 48
	simulatedEvents  = 50
	updateInterval   = 100 * time.Millisecond
	simulatedGateway = 30
)

func newSimulation(servers int, interval func(server, running int) time.Duration) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(7, 8)), interval: interval, sent: make([]int, servers), peak: make([]int, servers)}
	for i := range servers {
		s.servers = append(s.servers, policy.Server{Name: fmt.Sprint(i), Zone: "z", Slots: simulatedSlots})
	}
	s.known = make([]policy.Server, servers)
	for range simulatedGateway {
		s.estimators = append(s.estimators, &Estimator{})
		s.choosers = append(s.choosers, policy.NewChooser(s.random, policy.NewEjector(), policy.NewPrefixIndex()))
	}
	return s
}

// run plays a number of requests a second, and calls check every 100 ms.
func (s *simulation) run(from time.Time, d time.Duration, rate int, target time.Duration, check func(now time.Time)) {
	for ms := range int(d / time.Millisecond) {
		now := from.Add(time.Duration(ms) * time.Millisecond)
		if ms%int(updateInterval/time.Millisecond) == 0 {
			copy(s.known, s.servers)
			if check != nil {
				check(now)
			}
		}
		s.finish(now)
		for range rate / 1000 {
			s.send(now, target)
		}
		if s.random.IntN(1000) < rate%1000 {
			s.send(now, target)
		}
	}
}

// finish ends the streams that are complete.
func (s *simulation) finish(now time.Time) {
	running := s.streams[:0]
	for _, st := range s.streams {
		if now.Before(st.end) {
			running = append(running, st)
			continue
		}
		s.servers[st.server].Running--
		noise := 0.9 + 0.2*s.random.Float64()
		for _, e := range s.estimators {
			e.Observe(now, policy.Key(st.server), time.Duration(noise*float64(st.interval)))
		}
	}
	s.streams = running
}

// send has a random gateway choose a server for a request.
func (s *simulation) send(now time.Time, target time.Duration) {
	gateway := s.random.IntN(len(s.choosers))
	servers := append([]policy.Server(nil), s.known...)
	for i := range servers {
		servers[i].Slowdown = s.estimators[gateway].Slowdown(now, policy.Key(i))
	}
	job := policy.Job{Zone: "z", Urgency: 3, Target: target, Tokens: 800}
	choice := s.choosers[gateway].Choose(now, job, servers, nil)
	if !choice.InTime {
		s.refused++
		return
	}
	at := choice.Index
	s.servers[at].Running++
	s.sent[at]++
	s.peak[at] = max(s.peak[at], s.servers[at].Running)
	interval := s.interval(at, s.servers[at].Running)
	s.streams = append(s.streams, stream{at, now.Add(simulatedEvents * interval), interval})
}

func sumOf(counts []int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Guards against two faults with servers that slow down as they fill: gateways that all leave a full
// server at once and then all return, and servers that are distinguished though they are alike.
func TestServersThatSlowDownAsTheyFill(t *testing.T) {
	s := newSimulation(20, func(_, running int) time.Duration {
		return 12*time.Millisecond + time.Duration(running)*500*time.Microsecond
	})
	checks, distinguished := 0, 0
	s.run(testStart, 20*time.Second, 500, 400*time.Millisecond, func(now time.Time) {
		faster, slower := s.estimators[0].Distinguished(now)
		checks += len(s.servers)
		distinguished += faster + slower
	})
	mean := float64(sumOf(s.sent)) / float64(len(s.sent))
	for server, sent := range s.sent {
		if float64(sent) < 0.8*mean || float64(sent) > 1.2*mean {
			t.Errorf("server %d got %d requests, the mean is %.0f", server, sent, mean)
		}
	}
	t.Logf("distinguished in %d of %d checks; sent %v; peaks %v; refused %d", distinguished, checks, s.sent, s.peak, s.refused)
	if 50*distinguished > checks {
		t.Errorf("distinguished in %d of %d checks", distinguished, checks)
	}
}

// Guards against all gateways sending to the few fast servers at once, which would fill them within an
// update interval, and against idling slow servers: both kinds get work, the fast ones more.
func TestFastServersAreNotOverloaded(t *testing.T) {
	const every = 4
	s := newSimulation(20, func(server, _ int) time.Duration {
		if server%every == 0 {
			return normalInterval / 2
		}
		return normalInterval
	})
	s.run(testStart, 3*time.Second, 400, 400*time.Millisecond, nil)
	clear(s.sent)
	clear(s.peak)
	s.run(testStart.Add(3*time.Second), 10*time.Second, 400, 400*time.Millisecond, nil)
	fast, slow, servers := 0, 0, 0
	for server, sent := range s.sent {
		if server%every == 0 {
			fast += sent
			servers++
		} else {
			slow += sent
			if sent == 0 {
				t.Errorf("slow server %d got nothing", server)
			}
		}
		if s.peak[server] >= simulatedSlots {
			t.Errorf("server %d ran %d requests at once, it has %d slots", server, s.peak[server], simulatedSlots)
		}
	}
	perFast, perSlow := float64(fast)/float64(servers), float64(slow)/float64(len(s.sent)-servers)
	t.Logf("%.0f requests to each fast server, %.0f to each slow one; peaks %v; refused %d", perFast, perSlow, s.peak, s.refused)
	if perFast < 1.3*perSlow || perFast > 6*perSlow {
		t.Errorf("%.0f requests to each fast server, %.0f to each slow one", perFast, perSlow)
	}
	if s.refused > 0 {
		t.Errorf("%d refused", s.refused)
	}
}
