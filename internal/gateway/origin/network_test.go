package origin_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/origin"
	"github.com/applepier/applepier/policy"
)

// network connects the Directories of simulated gateways, by address.
type network struct {
	mu sync.Mutex
	// directories holds those that receive datagrams; stopped and cut off gateways aren't in it.
	directories map[string]*origin.Directory
	// holders and candidates are the addresses for all streams.
	holders, candidates []string
	// lossRate is the probability that a datagram is lost.
	lossRate float64
	random   *rand.Rand
	// lastRecord is the last datagram that the gateway named origin sent.
	lastRecord []byte
	// inFlight counts the datagrams that are being delivered.
	inFlight sync.WaitGroup
}

func newNetwork() *network {
	return &network{directories: map[string]*origin.Directory{}, random: rand.New(rand.NewPCG(1, 2))}
}

// add starts a gateway that knows the given versions of each service.
func (n *network) add(addr string, versions backend.Versions) *origin.Directory {
	d := origin.New(origin.Config{
		Peers: endpoint{n, addr}, Versions: func(policy.Key, time.Duration) backend.Versions { return versions }, Current: func(context.Context, time.Time) bool { return true }, Lifetime: func() time.Duration { return 10 * time.Second }, TTL: func() time.Duration { return time.Minute },
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directories[addr] = d
	return d
}

// remove stops a gateway or cuts it off.
func (n *network) remove(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.directories, addr)
}

// endpoint is a gateway's access to the network; it implements origin.Peers.
type endpoint struct {
	network *network
	addr    string
}

func (e endpoint) others(addrs []string) []string {
	var others []string
	for _, addr := range addrs {
		if addr != e.addr {
			others = append(others, addr)
		}
	}
	return others
}

func (e endpoint) Holders(uint64) []string    { return e.others(e.network.holders) }
func (e endpoint) Candidates(uint64) []string { return e.others(e.network.candidates) }

func (e endpoint) Alone() bool { return len(e.Holders(0))+len(e.Candidates(0)) == 0 }

// Send delivers a datagram in another goroutine, as a socket would.
func (e endpoint) Send(addr string, datagram []byte) {
	n := e.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.addr == "origin" {
		n.lastRecord = datagram
	}
	receiver := n.directories[addr]
	if receiver == nil || n.random.Float64() < n.lossRate {
		return
	}
	n.inFlight.Go(func() { _ = receiver.Handle(e.addr, datagram) })
}

var (
	chat       = policy.KeyOf("chat")
	beganAtV1  = origin.Origin{Service: chat, Version: policy.KeyOf("v1")}
	onlyV1     = backend.Versions{Only: policy.KeyOf("v1")}
	onlyV2     = backend.Versions{Only: policy.KeyOf("v2")}
	several    = backend.Versions{Several: true}
	notKnown   = backend.Versions{}
	testStream = origin.StreamOf("crew", "request-1")
)

// waitForRecord waits until a gateway holds a record.
func waitForRecord(t *testing.T, d *origin.Directory) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); d.Len() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the record didn't arrive")
		}
	}
}

// Guards against a stream whose origin dies with the gateway that began it, and against a record that
// answers for another customer's stream.
func TestOriginIsKnownAfterItsGatewayStopped(t *testing.T) {
	n := newNetwork()
	n.holders = []string{"a", "b", "c"}
	began, asked := n.add("origin", several), n.add("asked", several)
	holders := []*origin.Directory{n.add("a", several), n.add("b", several), n.add("c", several)}
	began.Begin(testStream, beganAtV1)
	if got, source := began.Find(t.Context(), testStream, chat); got != beganAtV1 || source != origin.SourceOwn {
		t.Errorf("own stream: got %+v, %s", got, source)
	}
	for _, holder := range holders {
		waitForRecord(t, holder)
	}
	n.remove("origin")
	n.remove("a")
	n.remove("b")
	if got, source := asked.Find(t.Context(), testStream, chat); got != beganAtV1 || source != origin.SourceRecord {
		t.Errorf("one of three holders left: got %+v, %s", got, source)
	}
	for _, stream := range []origin.Stream{origin.StreamOf("others", "request-1"), origin.StreamOf("crew", "request-2"), origin.StreamOf("crew", "")} {
		if got, source := asked.Find(t.Context(), stream, chat); source != origin.SourceUnknown || got != (origin.Origin{}) {
			t.Errorf("another stream: got %+v, %s", got, source)
		}
	}
	// The response to a query is kept.
	n.remove("c")
	if got, source := asked.Find(t.Context(), testStream, chat); got != beganAtV1 || source != origin.SourceRecord {
		t.Errorf("asked again: got %+v, %s", got, source)
	}
}

// Guards against a query that is lost with its first datagram, and against one that waits for a
// gateway that doesn't respond although another one has.
func TestQueryIsRepeatedAndEndsWithTheFirstRecord(t *testing.T) {
	n := newNetwork()
	n.holders, n.candidates = []string{"a", "silent"}, []string{"gone"}
	began, asked := n.add("origin", several), n.add("asked", several)
	holder := n.add("a", several)
	began.Begin(testStream, beganAtV1)
	waitForRecord(t, holder)
	n.remove("a")
	time.AfterFunc(60*time.Millisecond, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.directories["a"] = holder
	})
	start := time.Now()
	if got, source := asked.Find(t.Context(), testStream, chat); got != beganAtV1 || source != origin.SourceRecord {
		t.Errorf("got %+v, %s", got, source)
	}
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("took %v", took)
	}
}

// Guards against a guess: without a record, a stream goes on only if its service has had one version
// for as long as a stream lasts, and no gateway that responds knows of others.
func TestUnknownOriginIsTheOnlyVersionOrNone(t *testing.T) {
	cases := map[string]struct {
		own    backend.Versions
		others []backend.Versions
		want   origin.Source
	}{
		"known here":                          {onlyV1, nil, origin.SourceOnlyVersion},
		"known here, others started recently": {onlyV1, []backend.Versions{notKnown, notKnown}, origin.SourceOnlyVersion},
		"started recently, another knows":     {notKnown, []backend.Versions{notKnown, onlyV1}, origin.SourceOnlyVersion},
		"started recently, nobody knows":      {notKnown, []backend.Versions{notKnown}, origin.SourceUnknown},
		"started recently, alone":             {notKnown, nil, origin.SourceUnknown},
		"several here":                        {several, []backend.Versions{onlyV1}, origin.SourceUnknown},
		"several elsewhere":                   {onlyV1, []backend.Versions{onlyV1, several}, origin.SourceUnknown},
		"others disagree":                     {notKnown, []backend.Versions{onlyV1, onlyV2}, origin.SourceUnknown},
		"another disagrees":                   {onlyV1, []backend.Versions{onlyV2}, origin.SourceUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork()
			for i, versions := range c.others {
				addr := fmt.Sprint("peer-", i)
				n.add(addr, versions)
				n.holders = append(n.holders, addr)
			}
			if len(c.others) > 0 {
				n.holders = append(n.holders, "stopped")
			}
			got, source := n.add("asked", c.own).Find(t.Context(), testStream, chat)
			if source != c.want || source == origin.SourceOnlyVersion && got != beganAtV1 {
				t.Errorf("got %+v, %s; want %s", got, source, c.want)
			}
		})
	}
}

// Guards against a stream that is refused because its record reaches the holders after the query, or the
// asking gateway itself.
func TestRecordMayArriveAfterTheQuery(t *testing.T) {
	for _, late := range []string{"a", "asked"} {
		n := newNetwork()
		n.holders = []string{"a", "asked"}
		began, asked := n.add("origin", several), n.add("asked", several)
		holder := n.add("a", several)
		n.remove("a")
		n.remove("asked")
		began.Begin(testStream, beganAtV1)
		n.mu.Lock()
		n.directories["a"], n.directories["asked"] = holder, asked
		n.mu.Unlock()
		time.AfterFunc(20*time.Millisecond, func() { endpoint{n, "origin"}.Send(late, n.lastRecord) })
		if got, source := asked.Find(t.Context(), testStream, chat); got != beganAtV1 || source != origin.SourceRecord {
			t.Errorf("record late at %s: got %+v, %s", late, got, source)
		}
	}
	n := newNetwork()
	n.holders = []string{"a"}
	n.add("a", onlyV1)
	start := time.Now()
	if _, source := n.add("asked", notKnown).Find(t.Context(), origin.Unnamed, chat); source != origin.SourceOnlyVersion {
		t.Errorf("unnamed stream: got %s", source)
	}
	if took := time.Since(start); took > 40*time.Millisecond {
		t.Errorf("a stream without a record was looked up for %v", took)
	}
}

// Guards against a lookup that outlasts its request, or that waits without bound for gateways that
// don't respond.
func TestLookupIsBounded(t *testing.T) {
	n := newNetwork()
	n.holders = []string{"silent", "gone"}
	asked := n.add("asked", onlyV1)
	start := time.Now()
	// No other gateway responds, so this one may be cut off.
	if _, source := asked.Find(t.Context(), testStream, chat); source != origin.SourceUnknown {
		t.Errorf("got %s", source)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("took %v without a response", took)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	start = time.Now()
	asked.Find(ctx, testStream, chat)
	if took := time.Since(start); took > 100*time.Millisecond {
		t.Errorf("took %v after the caller had left", took)
	}
}

// Guards against a lookup that takes the responses of another one, when many streams of one gateway
// are resumed at once elsewhere, some of them twice.
func TestConcurrentLookups(t *testing.T) {
	const streams = 200
	n := newNetwork()
	n.lossRate = 0.05
	n.holders = []string{"a", "b", "c"}
	began, asked := n.add("origin", several), n.add("asked", several)
	for _, addr := range n.holders {
		n.add(addr, several)
	}
	originOf := func(i int) origin.Origin {
		return origin.Origin{Service: chat, Version: policy.KeyOf(fmt.Sprint("v", i%3))}
	}
	for i := range streams {
		began.Begin(origin.StreamOf("crew", fmt.Sprint(i)), originOf(i))
	}
	n.remove("origin")
	n.inFlight.Wait()
	var lookups sync.WaitGroup
	unknown := make(chan int, 2*streams)
	for i := range 2 * streams {
		lookups.Go(func() {
			stream := i % streams
			got, source := asked.Find(t.Context(), origin.StreamOf("crew", fmt.Sprint(stream)), chat)
			switch {
			case source == origin.SourceUnknown:
				unknown <- stream
			case got != originOf(stream):
				t.Errorf("stream %d: got %+v, want %+v", stream, got, originOf(stream))
			}
		})
	}
	lookups.Wait()
	if len(unknown) > streams/50 {
		t.Errorf("%d of %d lookups found nothing at a loss rate of 5%%", len(unknown), 2*streams)
	}
}

// Guards against the word of a gateway that has seen no request of a stream's length and has known the list
// of servers for longer than it takes streams to last, but not for as long as this one does.
func TestOnlyVersionHoldsForTheAskedLifetime(t *testing.T) {
	n := newNetwork()
	n.holders = []string{"idle"}
	n.directories["idle"] = origin.New(origin.Config{
		Peers: endpoint{n, "idle"}, Lifetime: func() time.Duration { return time.Second }, TTL: func() time.Duration { return time.Minute },
		Versions: func(_ policy.Key, window time.Duration) backend.Versions {
			if window > 5*time.Second {
				return notKnown
			}
			return onlyV1
		},
	})
	if got, source := n.add("asked", notKnown).Find(t.Context(), testStream, chat); source != origin.SourceUnknown {
		t.Errorf("got %+v, %s; a stream lasts ten seconds", got, source)
	}
}

// Guards against a stream that goes on at the only version that gateways know which are all behind: the one
// that resumes it must know of all versions that there were when it was resumed. A stream is refused where
// nobody can know, and goes on where somebody does.
func TestOnlyVersionNeedsCurrentList(t *testing.T) {
	cases := map[string]struct {
		own, others backend.Versions
		// current is whether the list becomes current in time, and then what is known of the versions.
		current bool
		then    backend.Versions
		want    origin.Source
	}{
		"in step":                           {onlyV1, onlyV1, true, onlyV1, origin.SourceOnlyVersion},
		"the others don't know":             {onlyV1, notKnown, true, onlyV1, origin.SourceOnlyVersion},
		"known to the others only":          {notKnown, onlyV1, true, notKnown, origin.SourceOnlyVersion},
		"the list doesn't become current":   {onlyV1, onlyV1, false, onlyV1, origin.SourceUnknown},
		"not current, the others don't":     {onlyV1, notKnown, false, onlyV1, origin.SourceUnknown},
		"all behind, another version joins": {onlyV1, onlyV1, true, several, origin.SourceUnknown},
		"all behind, replaced meanwhile":    {onlyV1, onlyV1, true, onlyV2, origin.SourceUnknown},
		"the others know of several":        {onlyV1, several, true, onlyV1, origin.SourceUnknown},
		"nobody knows":                      {notKnown, notKnown, true, notKnown, origin.SourceUnknown},
	}
	for name, c := range cases {
		for _, stream := range []origin.Stream{testStream, origin.Unnamed} {
			t.Run(fmt.Sprintf("%s, unnamed=%v", name, stream == origin.Unnamed), func(t *testing.T) {
				t.Parallel()
				n := newNetwork()
				n.holders = []string{"self", "other-1", "other-2"}
				n.add("other-1", c.others)
				n.add("other-2", c.others)
				var mu sync.Mutex
				versions := c.own
				began := time.Now()
				self := origin.New(origin.Config{
					Peers: endpoint{n, "self"}, Lifetime: func() time.Duration { return 10 * time.Second }, TTL: func() time.Duration { return time.Minute },
					Versions: func(policy.Key, time.Duration) backend.Versions {
						mu.Lock()
						defer mu.Unlock()
						return versions
					},
					Current: func(_ context.Context, at time.Time) bool {
						if at.Before(began) || time.Since(at) > 5*time.Second {
							t.Errorf("the list must be current at %v, the stream was resumed at %v", at, began)
						}
						mu.Lock()
						defer mu.Unlock()
						versions = c.then
						return c.current
					},
				})
				n.mu.Lock()
				n.directories["self"] = self
				n.mu.Unlock()
				found, source := self.Find(t.Context(), stream, chat)
				if source != c.want || source == origin.SourceOnlyVersion && found != beganAtV1 {
					t.Errorf("got %+v, %s; want %s", found, source, c.want)
				}
				n.inFlight.Wait()
			})
		}
	}
}
