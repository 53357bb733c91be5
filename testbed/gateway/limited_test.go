package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/testbed/gateway"
)

const (
	// limitWindow is the window over which the requests that a limited server receives are
	// counted. limitSlack, a factor, and limitExtra, in requests, are the allowed excess over
	// the limit: gateways learn of each other's sends with a delay.
	limitWindow = 4 * time.Second
	limitSlack  = 1.5
	limitExtra  = 5
)

// respondWithLimit returns a script that sends a complete response with a limit, in requests
// per second.
func limitedAnswer(limit float64) gateway.Script {
	return func(c net.Conn, a *gateway.Arrival) bool {
		head := gateway.Head(a, http.StatusOK, "Content-Length: 5", "Server-Limit: "+strconv.FormatFloat(limit, 'f', -1, 64))
		_, err := c.Write([]byte(head + "whole"))
		return err == nil
	}
}

// generateLoad sends each gateway perSecond requests a second until ctx ends. It returns the
// number of responses by status and body.
func press(ctx context.Context, fleets []*gateway.Fleet, each int) map[string]int {
	var mu sync.Mutex
	var callers sync.WaitGroup
	answers := map[string]int{}
	for _, f := range fleets {
		callers.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(each))
			defer ticker.Stop()
			for ctx.Err() == nil {
				<-ticker.C
				callers.Go(func() {
					got := f.Call("/safe/x", "pressing")
					mu.Lock()
					defer mu.Unlock()
					answers[fmt.Sprint(got.Status, " ", strings.TrimSpace(got.Body))]++
				})
			}
		})
	}
	callers.Wait()
	return answers
}

// maxInWindow returns the maximum number of requests that a server received within any
// limitWindow after a time.
func mostWithin(f *gateway.Fleet, server string, after time.Time) int {
	var times []time.Time
	for _, a := range f.Arrivals("pressing") {
		if a.Server == server && a.At.After(after) {
			times = append(times, a.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// waitUntilServing waits until each gateway serves requests and thus knows the servers.
func awaitServers(fleets []*gateway.Fleet) {
	for _, f := range fleets {
		f.Wait("the gateway to serve", func() bool { return f.Call("/safe/x", "warm").Status == http.StatusOK })
	}
}

// afterLimitKnown returns the time 500 ms from now, when all gateways have received a response
// with the limit or learned the limit from others.
func settled() time.Time { return time.Now().Add(500 * time.Millisecond) }

// generateLoadFor runs generateLoad for a duration.
func pressFor(t *testing.T, d time.Duration, fleets []*gateway.Fleet, each int) map[string]int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return press(ctx, fleets, each)
}

// checkLimit checks that a server received no more than its limit, in requests per second,
// allows.
func expectWithin(t *testing.T, f *gateway.Fleet, server string, after time.Time, limit float64) {
	t.Helper()
	got, allowed := mostWithin(f, server, after), limitSlack*limit*limitWindow.Seconds()+limitExtra
	t.Logf("%d requests within %v at a limit of %v a second", got, limitWindow, limit)
	if float64(got) > allowed {
		t.Errorf("%d requests within %v at a limit of %v a second, %v are allowed", got, limitWindow, limit, allowed)
	}
}

// Guards against gateways that apply a server's limit separately: an overloaded server that
// announced a limit received as many requests as before from each gateway.
func TestGatewaysKeepToAServersLimitTogether(t *testing.T) {
	t.Parallel()
	const limit, each = 2.0, 20
	fleets := startAlike(t, 4, 0)
	fleets[0].Serve("i-1", limitedAnswer(limit))
	fleets[0].Serve("i-2", gateway.Answer("whole"))
	fleets[0].Wait("both servers to be used", func() bool { fleets[0].Call("/safe/x", "warm"); return usedBoth(fleets[0], "warm") })
	awaitServers(fleets)
	after := settled()
	answers := pressFor(t, 6*time.Second, fleets, each)
	expectWithin(t, fleets[0], "i-1", after, limit)
	if len(answers) != 1 || answers["200 whole"] == 0 {
		t.Errorf("responses by status %v, want only successes as a server without a limit is available", answers)
	}
}

// When all servers have limits, the limits are used up and requests beyond them are rejected
// immediately.
func TestLimitsAreUsed(t *testing.T) {
	t.Parallel()
	const limit = 6.0
	fleets := startAlike(t, 2, 0)
	fleets[0].Serve("i-1", limitedAnswer(limit))
	awaitServers(fleets)
	after := settled()
	answers := pressFor(t, 6*time.Second, fleets, 20)
	expectWithin(t, fleets[0], "i-1", after, limit)
	got := mostWithin(fleets[0], "i-1", after)
	if least := 0.9 * limit * limitWindow.Seconds(); float64(got) < least {
		t.Errorf("%d requests within %v, the limit isn't used up", got, limitWindow)
	}
	if answers["200 whole"] == 0 || answers["503 server_limits"] == 0 || len(answers) != 2 {
		t.Errorf("responses by status %v, want requests beyond the limit rejected as not executed", answers)
	}
	if refused := fleets[0].Call("/safe/x", "refused"); refused.Status != http.StatusOK && refused.Header.Get("Retry-After") == "" {
		t.Errorf("rejected without Retry-After: %+v", refused)
	}
}

// A gateway that is partitioned from all others doesn't know what they send and uses only its
// share of a limit.
func TestGatewayThatIsCutOffKeepsToItsShareOfALimit(t *testing.T) {
	t.Parallel()
	const limit, listed = 6.0, 6
	fleets := startAlike(t, 1, listed-1)
	fleets[0].Serve("i-1", limitedAnswer(limit))
	awaitServers(fleets)
	after := settled()
	pressFor(t, 5*time.Second, fleets, 20)
	expectWithin(t, fleets[0], "i-1", after, limit/listed)
	if mostWithin(fleets[0], "i-1", after) == 0 {
		t.Error("the gateway sends nothing at all")
	}
}

// A gateway that has just started has seen no response with the limit and must still respect
// it.
func TestGatewayThatStartsKeepsToALimit(t *testing.T) {
	t.Parallel()
	const limit = 2.0
	fleets := startAlike(t, 3, 0)
	fleets[0].Serve("i-1", limitedAnswer(limit))
	awaitServers(fleets)
	after := settled()
	ctx, cancel := context.WithCancel(t.Context())
	var pressing sync.WaitGroup
	pressing.Go(func() { press(ctx, fleets, 20) })
	for i := range 3 {
		late := gateway.NewFleet(t, gateway.Options{Name: fmt.Sprintf("late-%d", i), Revoke: 5 * time.Second, Store: fleets[0].Store})
		pressFor(t, 1500*time.Millisecond, []*gateway.Fleet{late}, 20)
	}
	cancel()
	pressing.Wait()
	expectWithin(t, fleets[0], "i-1", after, limit)
}

// A server that no longer announces a limit receives its full share again.
func TestServerThatLiftsItsLimitIsUsedAgain(t *testing.T) {
	t.Parallel()
	core, lines := observer.New(zap.DebugLevel)
	f := gateway.NewFleet(t, gateway.Options{Log: zap.New(core)})
	server := f.Serve("i-1", limitedAnswer(1))
	f.Wait("the server to be used", func() bool { return f.Call("/safe/x", "warm").Status == http.StatusOK })
	if named := lines.FilterMessage("server_limited").All(); len(named) != 1 || named[0].ContextMap()["limit"] != 1.0 {
		t.Errorf("log entries %v, want one with the limit", named)
	}
	f.Wait("requests beyond the limit to be rejected", func() bool { return f.Call("/safe/x", "beyond").Status == http.StatusServiceUnavailable })
	if text := metricsOf(t, f); !strings.Contains(text, "applepier_backend_servers_limited 1\n") || strings.Contains(text, "applepier_limited_sends_total 0\n") {
		t.Error("the metrics show no limited server or no limited sends")
	}
	server.Do(gateway.Answer("whole"))
	f.Wait("the limit to be lifted", func() bool {
		return lines.FilterMessage("server_unlimited").Len() > 0 || f.Call("/safe/x", "lifts").Status == 0
	})
	for range 20 {
		if got := f.Call("/safe/x", "after"); got.Status != http.StatusOK {
			t.Fatalf("got %+v after the limit was lifted", got)
		}
	}
}

// readMetrics returns a gateway's metrics in text format.
func metricsOf(t *testing.T, f *gateway.Fleet) string {
	t.Helper()
	resp, err := http.Get("http://" + f.Admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
