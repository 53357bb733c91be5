package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

const (
	// callerTimeLimit is how long a caller waits for a stream in all: the timeout of the route on which
	// it began.
	callerTimeLimit = 3 * time.Second
	// callerRetries is how often it asks for the rest.
	callerRetries = 8
)

// resumingCaller is a caller that resumes its stream until the stream is complete, its time is up or it has
// tried callerRetries times.
type resumingCaller struct {
	t       *testing.T
	group   *gateway.RestartableGroup
	id      string
	named   bool
	events  string
	resumed int
	refused int
}

// run receives the stream. It calls started after the first event.
func (c *resumingCaller) run(gatewayIndex int, started func()) {
	deadline := time.Now().Add(callerTimeLimit)
	c.events = readUntilBroken(c.t, c.group.Gateway(gatewayIndex), c.id, started)
	for attempt := 1; attempt <= callerRetries && eventCount(c.events) < versionEvents && time.Now().Before(deadline); attempt++ {
		got := c.resume(c.group.Gateway((gatewayIndex+attempt)%3), attempt, time.Until(deadline))
		if got.Status == http.StatusOK {
			c.resumed++
			c.events += got.Body[:strings.LastIndex(got.Body, "\n\n")+2]
			continue
		}
		c.refused++
		delay := 100 * time.Millisecond
		if seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64); err == nil {
			delay = min(time.Duration(seconds*float64(time.Second)), time.Until(deadline)/3)
		}
		time.Sleep(delay)
	}
}

// resume asks a gateway for the rest of the stream.
func (c *resumingCaller) resume(f *gateway.Fixture, attempt int, limit time.Duration) gateway.Response {
	ctx, cancel := context.WithTimeout(c.t.Context(), limit)
	defer cancel()
	req := f.Request(ctx, http.MethodPost, "/resume/x", fmt.Sprintf("%s-%d", c.id, attempt), nil)
	req.Header.Set("Last-Event-Id", strconv.Itoa(eventCount(c.events)))
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if c.named {
		req.Header.Set("Resumes", c.id)
	}
	return f.Do(req)
}

// herdKill starts streams at a group, kills all gateways while they are in progress and checks that no
// stream holds events of two versions. beforeKill is called once all streams have begun.
func herdKill(t *testing.T, group *gateway.RestartableGroup, servers []versionServer, name string, beforeKill func()) {
	t.Helper()
	killed := make(chan struct{})
	for _, s := range servers {
		s.SetScript(heldVersion(s.version, killed))
	}
	var started, running sync.WaitGroup
	callers := make([]*resumingCaller, versionStreams)
	started.Add(len(callers))
	for n := range callers {
		callers[n] = &resumingCaller{t: t, group: group, id: fmt.Sprintf("%s-%d", name, n), named: n%2 == 0}
		running.Go(func() { callers[n].run(n%3, started.Done) })
	}
	started.Wait()
	beforeKill()
	group.KillAll()
	close(killed)
	running.Wait()
	broken, joined, resumed, complete, refused := 0, 0, 0, 0, 0
	for _, c := range callers {
		if versions := versionsIn(c.events); len(versions) > 1 {
			joined++
			t.Errorf("%s: the stream holds events of versions %v", c.id, versions)
		}
		resumed += min(c.resumed, 1)
		refused += c.refused
		if c.resumed+c.refused > 0 {
			broken++
		}
		if eventCount(c.events) == versionEvents {
			complete++
		}
	}
	t.Logf("%s: of %d streams %d were broken off, %d went on, %d joined, %d complete; %d refusals", name, len(callers), broken, resumed, joined, complete, refused)
	if broken != versionStreams {
		t.Errorf("%s: only %d streams were broken off", name, broken)
	}
}

// heldVersion returns a script of a server with a software version that sends half of a stream and the rest
// once release is closed.
func heldVersion(version string, release <-chan struct{}) gateway.Script {
	return func(c net.Conn, r *gateway.ReceivedRequest) bool {
		var lastID int
		// Without the header the stream starts from the first event.
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &lastID)
		if _, err := io.WriteString(c, gateway.ResponseHead(r, 200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")); err != nil {
			return false
		}
		for id := lastID + 1; id <= versionEvents; id++ {
			if id > versionEvents/2 {
				select {
				case <-release:
				case <-r.Closed:
					return false
				}
			}
			event := gateway.VersionEvent(version, id)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// versionServer is a server with a software version.
type versionServer struct {
	*gateway.Server
	version string
}

// startRestartableVersions starts a group of three gateways with two servers of each version.
func startRestartableVersions(t *testing.T, versions ...string) (*gateway.RestartableGroup, []versionServer) {
	t.Helper()
	group := gateway.StartRestartableGroup(t, 3)
	var servers []versionServer
	for _, version := range versions {
		for n := range 2 {
			server := group.Gateway(0).StartVersionServer(fmt.Sprintf("i-%s-%d", version, n), version, steadyVersion(version))
			servers = append(servers, versionServer{server, version})
		}
	}
	waitForServers(t, group, len(servers))
	return group, servers
}

// waitForServers waits until each gateway of a group uses the given number of servers.
func waitForServers(t *testing.T, group *gateway.RestartableGroup, count int) {
	t.Helper()
	for i := range 3 {
		f := group.Gateway(i)
		f.WaitFor("the gateway to know all servers", func() bool { return f.Ready() && usableServers(t, f) == count })
	}
}

// Guards against a stream that goes on at another software version because all gateways were killed at
// once and none knows which version began it, while both serve and after one has left.
func TestStreamsKeepSoftwareVersionAfterHerdKill(t *testing.T) {
	t.Parallel()
	group, servers := startRestartableVersions(t, "v1", "v2")
	herdKill(t, group, servers, "both", func() {})
	waitForServers(t, group, len(servers))
	herdKill(t, group, servers, "left", func() {
		// The servers of v1 have left the list, and work on the streams in progress.
		for _, s := range servers[:2] {
			group.Gateway(0).Store.Delete("servers", s.Instance)
		}
	})
}

// Guards against the same where the operator has lowered the timeout of the streams meanwhile: their
// callers still wait as long as they meant to.
func TestStreamsKeepSoftwareVersionAfterLoweredTimeout(t *testing.T) {
	t.Parallel()
	group, servers := startRestartableVersions(t, "v1", "v2")
	herdKill(t, group, servers, "lowered", func() {
		group.Gateway(0).PutStreamTimeout(2, 400*time.Millisecond)
		for _, s := range servers[:2] {
			group.Gateway(0).Store.Delete("servers", s.Instance)
		}
	})
}
