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
	// limitWindow is the time over which what a server with a limit got is summed, and
	// limitSlack and limitExtra by what it may be above the limit: what gateways can't
	// know of each other yet.
	limitWindow = 4 * time.Second
	limitSlack  = 1.5
	limitExtra  = 5
)

// limitedAnswer scripts a whole answer that names a limit.
func limitedAnswer(limit float64) gateway.Script {
	return func(c net.Conn, a *gateway.Arrival) bool {
		head := gateway.Head(a, http.StatusOK, "Content-Length: 5", "Server-Limit: "+strconv.FormatFloat(limit, 'f', -1, 64))
		_, err := c.Write([]byte(head + "whole"))
		return err == nil
	}
}

// press has callers ask each gateway so many times a second until ctx ends; it returns the
// answers by status and, of refusals, reason.
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

// mostWithin is the most requests that reached a server after a moment within any
// limitWindow.
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

// awaitServers waits until each gateway serves, so that it has heard of the servers.
func awaitServers(fleets []*gateway.Fleet) {
	for _, f := range fleets {
		f.Wait("it is served", func() bool { return f.Call("/safe/x", "warm").Status == http.StatusOK })
	}
}

// settled is half a second from now: by then all gateways have passed on an answer that
// names the limit, or have heard of it.
func settled() time.Time { return time.Now().Add(500 * time.Millisecond) }

func pressFor(t *testing.T, d time.Duration, fleets []*gateway.Fleet, each int) map[string]int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return press(ctx, fleets, each)
}

func expectWithin(t *testing.T, f *gateway.Fleet, server string, after time.Time, limit float64) {
	t.Helper()
	got, allowed := mostWithin(f, server, after), limitSlack*limit*limitWindow.Seconds()+limitExtra
	t.Logf("%d requests within %v at a limit of %v a second", got, limitWindow, limit)
	if float64(got) > allowed {
		t.Errorf("%d requests within %v at a limit of %v a second, %v are allowed", got, limitWindow, limit, allowed)
	}
}

// A server in need named how much it takes, and got as much as before from each gateway.
func TestGatewaysKeepToAServersLimitTogether(t *testing.T) {
	t.Parallel()
	const limit, each = 2.0, 20
	fleets := startAlike(t, 4, 0)
	fleets[0].Serve("i-1", limitedAnswer(limit))
	fleets[0].Serve("i-2", gateway.Answer("whole"))
	fleets[0].Wait("both are used", func() bool { fleets[0].Call("/safe/x", "warm"); return usedBoth(fleets[0], "warm") })
	awaitServers(fleets)
	after := settled()
	answers := pressFor(t, 6*time.Second, fleets, each)
	expectWithin(t, fleets[0], "i-1", after, limit)
	if len(answers) != 1 || answers["200 whole"] == 0 {
		t.Errorf("answers by status %v, though a server without a limit is there", answers)
	}
}

// Where all servers have limits, these are used, and the rest is refused at once.
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
		t.Errorf("%d requests within %v, the limit is not used", got, limitWindow)
	}
	if answers["200 whole"] == 0 || answers["503 server_limits"] == 0 || len(answers) != 2 {
		t.Errorf("answers by status %v, want what is beyond the limit refused as not run", answers)
	}
	if refused := fleets[0].Call("/safe/x", "refused"); refused.Status != http.StatusOK && refused.Header.Get("Retry-After") == "" {
		t.Errorf("refused without a time to come back: %+v", refused)
	}
}

// A gateway that hears nobody doesn't know what the others send.
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
		t.Error("it sends nothing at all")
	}
}

// A gateway that starts has passed on no answer that names the limit.
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

// A server that needs no help any more gets its share again.
func TestServerThatLiftsItsLimitIsUsedAgain(t *testing.T) {
	t.Parallel()
	core, lines := observer.New(zap.DebugLevel)
	f := gateway.NewFleet(t, gateway.Options{Log: zap.New(core)})
	server := f.Serve("i-1", limitedAnswer(1))
	f.Wait("it is used", func() bool { return f.Call("/safe/x", "warm").Status == http.StatusOK })
	if named := lines.FilterMessage("server_limited").All(); len(named) != 1 || named[0].ContextMap()["limit"] != 1.0 {
		t.Errorf("lines %v, want one that names the limit", named)
	}
	f.Wait("what is beyond the limit is refused", func() bool { return f.Call("/safe/x", "beyond").Status == http.StatusServiceUnavailable })
	if text := metricsOf(t, f); !strings.Contains(text, "applepier_backend_servers_limited 1\n") || strings.Contains(text, "applepier_limited_sends_total 0\n") {
		t.Error("the metrics don't tell of the limit, or of what was sent")
	}
	server.Do(gateway.Answer("whole"))
	f.Wait("the limit is lifted", func() bool {
		return lines.FilterMessage("server_unlimited").Len() > 0 || f.Call("/safe/x", "lifts").Status == 0
	})
	for range 20 {
		if got := f.Call("/safe/x", "after"); got.Status != http.StatusOK {
			t.Fatalf("got %+v after the limit was lifted", got)
		}
	}
}

// metricsOf is what a gateway's metrics say.
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
