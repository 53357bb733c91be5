package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/gateway"
)

const (
	// overloadedCores is the fraction of a core that the gateway gets, like one on a small VM.
	overloadedCores = 0.1
	// overloadRate is the rate of new connections, several times what a throttled gateway can serve.
	overloadRate = 1200
	// noticeTime is how many seconds a gateway has to notice.
	noticeTime = 3
	// callerPatience is how long callers wait for a response, and minServedOfRead the least share of
	// the requests that a gateway has read and that it must serve within that time.
	callerPatience  = time.Second
	minServedOfRead = 0.75
)

// newThrottledGateway builds the gateway program and returns a function that runs it with a fraction of a core.
func newThrottledGateway(t *testing.T) func(context.Context, settings.Gateway) error {
	t.Helper()
	g := newShippedGateway(t, buildProgram(t))
	return func(ctx context.Context, s settings.Gateway) error {
		process, err := g.start(ctx, s, "GOMAXPROCS=1")
		if err != nil {
			return err
		}
		fleet.EnforceCPUQuota(ctx, overloadedCores, process.PID, func(paused bool) {
			signal := process.Resume
			if paused {
				signal = process.Pause
			}
			// This fails only once the process has ended.
			_ = signal()
		})
		return process.Kill()
	}
}

// Guards against a gateway that gets more connections than its processor can serve, reads all of their
// requests and serves each too late. Callers whose connection is closed unread go to another gateway.
func TestOverloadedGatewayClosesConnectionsUnread(t *testing.T) {
	hot := gateway.NewFixture(t, gateway.Options{Run: newThrottledGateway(t)})
	for i := range 4 {
		hot.StartServer(fmt.Sprintf("i-%d", i), gateway.Respond("whole"))
	}
	hot.WaitFor("the gateway to serve", func() bool { return hot.Post("/safe/x", "warm").Status == http.StatusOK })
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerPatience}
	var callers sync.WaitGroup
	var mu sync.Mutex
	var unread, read, served int
	ticker := time.NewTicker(time.Second / overloadRate)
	defer ticker.Stop()
	for i := range (noticeTime + 3) * overloadRate {
		<-ticker.C
		// The gateway has some time to notice.
		counts := i > noticeTime*overloadRate
		callers.Go(func() {
			resp, err := client.Do(hot.Request(context.Background(), http.MethodPost, "/safe/x", fmt.Sprint("hot-", i), nil))
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !counts:
			case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, io.EOF):
				unread++
			default:
				read++
				if err == nil && resp.StatusCode == http.StatusOK {
					served++
				}
			}
		})
	}
	callers.Wait()
	t.Logf("%d closed unread, %d of %d others served", unread, served, read)
	if float64(served) < minServedOfRead*float64(read) || served == 0 {
		t.Errorf("%d of %d requests served that weren't closed unread", served, read)
	}
}
