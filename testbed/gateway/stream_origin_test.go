package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// streamWindow is how long a service must have had one version before a stream of unknown origin goes
// on there: twice the longest timeout in the Fixture's desired state.
const streamWindow = 6 * time.Second

// steadyVersion returns a script of a server with a software version that streams events slowly enough
// for a caller to leave in between.
func steadyVersion(version string) gateway.Script {
	return gateway.VersionEvents(version, versionEvents, 0, 10*time.Millisecond)
}

// expectRefusal checks that a resumption was refused at once with a reason and a Retry-After, and that
// no server received it.
func expectRefusal(t *testing.T, f *gateway.Fixture, id string, got gateway.Response, reason string) {
	t.Helper()
	if got.Status != http.StatusServiceUnavailable || strings.TrimSpace(got.Body) != reason || got.Header.Get("Retry-After") == "" {
		t.Errorf("%s: got %+v, want a refusal with %s", id, got, reason)
	}
	if n := len(f.ReceivedRequests(id)); n != 0 {
		t.Errorf("%s: refused, but sent to %d servers", id, n)
	}
}

// Guards against the loss of the origins of all streams with the gateway that began them: of those
// that their callers resume at other gateways, at least half must go on, all at their version.
func TestStreamsAreResumedAfterTheirGatewayIsKilled(t *testing.T) {
	child := &gateway.Child{}
	fixtures := []*gateway.Fixture{gateway.NewFixture(t, gateway.Options{Name: "gateway-0"})}
	for n := 1; n < 3; n++ {
		fixtures = append(fixtures, gateway.NewFixture(t, gateway.Options{Name: fmt.Sprintf("gateway-%d", n), Store: fixtures[0].Store}))
	}
	killed := gateway.NewFixture(t, gateway.Options{Name: "gateway-killed", Store: fixtures[0].Store, Run: child.Run})
	all := append(slices.Clone(fixtures), killed)
	waitForMesh(t, all)
	startVersions(t, all, func(version string) gateway.Script {
		return gateway.VersionEvents(version, versionEvents, 0, 50*time.Millisecond)
	}, "v1", "v2")

	// All streams are in progress when their gateway is killed.
	begun := make([]string, versionStreams)
	var reading, started sync.WaitGroup
	started.Add(versionStreams)
	for n := range versionStreams {
		reading.Go(func() { begun[n] = readUntilBroken(t, killed, fmt.Sprintf("killed-%d", n), started.Done) })
	}
	started.Wait()
	if err := child.Kill(); err != nil {
		t.Fatal(err)
	}
	reading.Wait()
	resumed := 0
	for n, events := range begun {
		id, after := fmt.Sprintf("killed-%d", n), eventCount(events)
		got := resume(fixtures[n%len(fixtures)], id, id+"-again", after)
		if versions := versionsIn(events + got.Body); len(versions) > 1 {
			t.Errorf("%s: the stream holds events of versions %v", id, versions)
		}
		if got.Status == http.StatusOK && eventCount(got.Body) == versionEvents-after {
			resumed++
		}
	}
	t.Logf("%d of %d streams went on", resumed, versionStreams)
	if resumed < versionStreams/2 {
		t.Errorf("%d of %d streams went on, want at least half", resumed, versionStreams)
	}
}

// readUntilBroken begins a stream, calls started after its first event and returns the complete events
// received until the connection breaks.
func readUntilBroken(t *testing.T, f *gateway.Fixture, id string, started func()) string {
	first := sync.OnceFunc(started)
	defer first()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(f.Request(t.Context(), http.MethodPost, "/resume/x", id, nil))
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	received, buffer := "", make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buffer)
		received += string(buffer[:n])
		if eventCount(received) > 0 {
			first()
		}
		if err != nil {
			return received[:strings.LastIndex(received, "\n\n")+2]
		}
	}
}

// Guards against a stream of unknown origin that goes on while servers of two versions serve, and
// against a record that tells one customer of another one's stream.
func TestStreamOfUnknownOriginIsRefused(t *testing.T) {
	fixtures := startMesh(t, 2)
	startVersions(t, fixtures, steadyVersion, "v1", "v2")
	fixtures[0].PutState(2, "", `],"priority":1},{"name":"others","api-keys":["key-2"`)
	f := fixtures[1]
	f.WaitFor("the other customer's key to be in force", func() bool {
		req := f.Request(context.Background(), http.MethodPost, "/safe/x", "warm", nil)
		req.Header.Set("Authorization", "Bearer key-2")
		return f.Do(req).Status != http.StatusUnauthorized
	})
	readEvents(t, fixtures[0], "known", versionCut)
	expectRefusal(t, f, "unnamed", resume(f, "", "unnamed", versionCut), "stream_origin_unknown")
	expectRefusal(t, f, "unknown-again", resume(f, "unknown", "unknown-again", versionCut), "stream_origin_unknown")
	req := f.Request(context.Background(), http.MethodPost, "/resume/x", "stolen", nil)
	req.Header.Set("Authorization", "Bearer key-2")
	req.Header.Set("Last-Event-Id", "4")
	req.Header.Set("Resumes", "known")
	expectRefusal(t, f, "stolen", f.Do(req), "stream_origin_unknown")
	if got := resume(f, "known", "known-again", versionCut); got.Status != http.StatusOK {
		t.Errorf("the customer's own stream: got %+v", got)
	}
	// Resumes without Last-Event-Id: the caller has no event, so the stream begins anew.
	fresh := f.Request(context.Background(), http.MethodPost, "/resume/x", "fresh", nil)
	fresh.Header.Set("Resumes", "unknown")
	if got := f.Do(fresh); got.Status != http.StatusOK || eventCount(got.Body) != versionEvents {
		t.Errorf("a stream without events: got %+v", got)
	}
}

// Guards against a stream that is resumed several times: a caller names the request that brought the
// first event, also after a resumption that failed before its first event, and may resume twice at once.
func TestStreamIsResumedSeveralTimes(t *testing.T) {
	fixtures := startMesh(t, 3)
	startVersions(t, fixtures, steadyVersion, "v1", "v2")
	for n := range 10 {
		id := fmt.Sprintf("several-%d", n)
		begun := readEvents(t, fixtures[0], id, 2)
		var again sync.WaitGroup
		for i, f := range fixtures[1:] {
			again.Go(func() {
				for attempt := range 2 {
					got := resume(f, id, fmt.Sprintf("%s-%d-%d", id, i, attempt), 2+attempt)
					if versions := versionsIn(begun + got.Body); got.Status != http.StatusOK || len(versions) > 1 {
						t.Errorf("%s resumed: status %d, versions %v", id, got.Status, versions)
					}
				}
			})
		}
		again.Wait()
	}
}

// Guards against a stream that goes on at another version because none of its version is left, against
// one that appears complete then, and against a refusal or an end that comes late.
func TestStreamWithoutServerOfItsVersion(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	breaks := func(c net.Conn, r *gateway.ReceivedRequest) bool {
		return gateway.VersionEvents("v1", versionEvents, versionCut, 0)(c, r)
	}
	first := f.StartVersionServer("i-first", "v1", breaks)
	f.WaitFor("the first server to be known", func() bool { return usableServers(t, f) == 1 })
	warm := f.Post("/resume/x", "warm")
	if warm.Err == nil {
		t.Fatalf("the stream wasn't broken off: %+v", warm)
	}
	for n := range 3 {
		f.StartVersionServer(fmt.Sprintf("i-other-%d", n), "v2", gateway.VersionEvents("v2", versionEvents, 0, 0))
	}
	f.WaitFor("all servers to be known", func() bool { return usableServers(t, f) == 4 })
	broken := 0
	for n := range 20 {
		id := fmt.Sprintf("alone-%d", n)
		start := time.Now()
		got := f.Post("/resume/x", id)
		switch versions := versionsIn(got.Body); {
		case len(versions) > 1:
			t.Errorf("%s: events of %v", id, versions)
		case versions[0] == "v1" && got.Err == nil:
			t.Errorf("%s: the stream appears complete after %d events", id, eventCount(got.Body))
		case versions[0] == "v1":
			broken++
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("%s: ended after %v", id, took)
		}
	}
	if broken == 0 {
		t.Error("no stream began at the first version")
	}
	f.ListServerVersion(first, "draining", "v1")
	f.WaitFor("the server to drain", func() bool { return usableServers(t, f) == 3 })
	start := time.Now()
	expectRefusal(t, f, "no-version-left", resume(f, "warm", "no-version-left", versionCut-1), "stream_version_unavailable")
	if took := time.Since(start); took > time.Second {
		t.Errorf("refused after %v", took)
	}
}

// Guards against a gateway that takes the list that it has just read for all versions that there were:
// it takes the word of others that have known the list for as long as a stream lasts, and otherwise
// refuses for that long. A gateway that is cut off from the store doesn't know whether its list is
// current.
func TestOriginIsTheOnlyVersionOnceThatIsKnown(t *testing.T) {
	fixtures := startMesh(t, 2)
	startVersions(t, fixtures, steadyVersion, "v1")
	expectRefusal(t, fixtures[0], "early", resume(fixtures[0], "unknown-early", "early", versionCut), "stream_origin_unknown")
	time.Sleep(streamWindow)
	if got := resume(fixtures[0], "unknown", "later", versionCut); got.Status != http.StatusOK {
		t.Errorf("one version for long: got %+v", got)
	}
	fresh := gateway.NewFixture(t, gateway.Options{Name: "gateway-fresh", Store: fixtures[0].Store})
	waitForMesh(t, append(fixtures, fresh))
	if got := resume(fresh, "unknown-at-fresh", "at-fresh", versionCut); got.Status != http.StatusOK {
		t.Errorf("a gateway that just started, beside others: got %+v", got)
	}
	// A server of another version, however briefly, may have begun the stream.
	brief := fixtures[0].StartVersionServer("i-brief", "v2", steadyVersion("v2"))
	for _, f := range append(fixtures, fresh) {
		f.WaitFor("the other version to be known", func() bool { return usableServers(t, f) == 3 })
	}
	fixtures[0].Store.Delete("servers", brief.Instance)
	for _, f := range append(fixtures, fresh) {
		f.WaitFor("the other version to be gone", func() bool { return usableServers(t, f) == 2 })
	}
	expectRefusal(t, fresh, "after-brief", resume(fresh, "unknown-too", "after-brief", versionCut), "stream_origin_unknown")
}

// Guards against a stream of unknown origin that goes on at the only version of a service that may not be
// the one that began it, because its route leads to several.
func TestOriginOnRouteToSeveralServicesIsNotGuessed(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{})
	const split = `,{"name":"split","host":"h.example","prefix":"/split/","type":"stream","timeout-ms":3000,"slo-ms":500,"backends":[{"service":"plain","weight":9},{"service":"other","weight":1}],"attempts":2,"resumable":true}`
	f.PutState(2, split, "")
	startVersions(t, []*gateway.Fixture{f}, steadyVersion, "v1")
	time.Sleep(streamWindow)
	if got := resume(f, "unknown-one", "one-service", versionCut); got.Status != http.StatusOK {
		t.Errorf("a route to one service: got %+v", got)
	}
	f.WaitFor("the other route to serve", func() bool { return f.Post("/split/x", "warm").Status == http.StatusOK })
	for n := range 10 {
		id := fmt.Sprintf("several-services-%d", n)
		req := f.Request(context.Background(), http.MethodPost, "/split/x", id, nil)
		req.Header.Set("Last-Event-Id", "4")
		req.Header.Set("Resumes", fmt.Sprintf("unknown-%d", n))
		expectRefusal(t, f, id, f.Do(req), "stream_origin_unknown")
	}
}

// Guards against a gateway that is cut off from the store and goes by its old list, in which there is
// one version only. Streams that it knows go on.
func TestGatewayCutOffFromStoreGuessesNoOrigin(t *testing.T) {
	f := gateway.NewFixture(t, gateway.Options{Revoke: 20 * time.Second})
	startVersions(t, []*gateway.Fixture{f}, steadyVersion, "v1")
	time.Sleep(streamWindow)
	if got := resume(f, "unknown", "connected", versionCut); got.Status != http.StatusOK {
		t.Errorf("connected: got %+v", got)
	}
	readEvents(t, f, "known", versionCut)
	f.BlockStoreResponses(true)
	defer f.BlockStoreResponses(false)
	tries := 0
	f.WaitFor("streams of unknown origin to be refused", func() bool {
		tries++
		return resume(f, fmt.Sprintf("unknown-%d", tries), fmt.Sprintf("cut-off-%d", tries), versionCut).Status == http.StatusServiceUnavailable
	})
	if got := resume(f, "known", "known-again", versionCut); got.Status != http.StatusOK {
		t.Errorf("a known stream: got %+v", got)
	}
}
