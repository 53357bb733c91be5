package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

const (
	// quotaPeriod and quota are how much processor time a throttled process gets in which time, like a
	// VM with a small share of a core.
	quotaPeriod = 100 * time.Millisecond
	quota       = 10 * time.Millisecond
	// overloadRate is the rate of new connections, several times what a throttled gateway can serve.
	overloadRate = 1200
	// noticeTime is how many seconds a gateway has to notice.
	noticeTime = 3
	// callerPatience is how long callers wait for a response, and minServedOfRead the least share of
	// the requests that a gateway has read and that it must serve within that time.
	callerPatience  = time.Second
	minServedOfRead = 0.75
)

// throttle suspends a process for the rest of each quotaPeriod in which it has used up its quota, until
// ctx ends.
func throttle(ctx context.Context, process *os.Process) {
	const pollInterval = 2 * time.Millisecond
	allowed, suspended := processorTime(process)+quota, false
	for start := time.Now(); ctx.Err() == nil; time.Sleep(pollInterval) {
		used := processorTime(process)
		for time.Since(start) >= quotaPeriod {
			start = start.Add(quotaPeriod)
			// Unused quota doesn't accumulate, and excess use is charged to the next periods.
			allowed = min(allowed, used) + quota
		}
		if over := used > allowed; over != suspended {
			suspended = over
			signal := syscall.SIGCONT
			if over {
				signal = syscall.SIGSTOP
			}
			// Signals fail only once the process has ended.
			_ = process.Signal(signal)
		}
	}
	_ = process.Signal(syscall.SIGCONT)
}

// processorTime returns the processor time that a process has used; 0 if it has ended.
func processorTime(process *os.Process) (used time.Duration) {
	// The only possible error is a malformed pattern.
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process.Pid))
	for _, path := range threads {
		var nanoseconds int64
		// A thread that has ended meanwhile has no file.
		if content, err := os.ReadFile(path); err == nil {
			_, _ = fmt.Sscan(string(content), &nanoseconds)
		}
		used += time.Duration(nanoseconds)
	}
	return used
}

// Guards against a gateway that gets more connections than its processor can serve, reads all of their
// requests and serves each too late. Callers whose connection is closed unread go to another gateway.
func TestOverloadedGatewayClosesConnectionsUnread(t *testing.T) {
	child := newChildGateway()
	hot := gateway.NewFixture(t, gateway.Options{Run: child.run})
	process := <-child.started
	for i := range 4 {
		hot.StartServer(fmt.Sprintf("i-%d", i), gateway.Respond("whole"))
	}
	hot.WaitFor("the gateway to serve", func() bool { return hot.Post("/safe/x", "warm").Status == http.StatusOK })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { throttle(ctx, process) })
	defer background.Wait()
	defer cancel()

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
