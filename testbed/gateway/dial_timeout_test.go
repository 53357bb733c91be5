package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/testbed/gateway"
)

// stallableListener is a listener that can stop accepting connections, so that the kernel
// drops the packets that would open more.
type stallableListener struct {
	net.Listener
	stalled atomic.Bool
}

// newStallableListener listens with the shortest accept queue.
func newStallableListener(t *testing.T) *stallableListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &stallableListener{Listener: l}
}

// Accept implements net.Listener.
func (l *stallableListener) Accept() (net.Conn, error) {
	for l.stalled.Load() {
		time.Sleep(time.Millisecond)
	}
	c, err := l.Listener.Accept()
	for l.stalled.Load() {
		time.Sleep(time.Millisecond)
	}
	return c, err
}

// stall prevents new connections for the duration d. The returned channel receives the actual
// duration, which is longer than d if this process wasn't scheduled.
func (l *stallableListener) stall(t *testing.T, d time.Duration) <-chan time.Duration {
	t.Helper()
	l.stalled.Store(true)
	// These connections fill the accept queue until the kernel drops further attempts.
	var queued []net.Conn
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond)
		if err != nil {
			break
		}
		queued = append(queued, c)
	}
	stalledAt, took := time.Now(), make(chan time.Duration, 1)
	time.AfterFunc(d, func() {
		for _, c := range queued {
			_ = c.Close()
		}
		l.stalled.Store(false)
		took <- time.Since(stalledAt)
	})
	return took
}

// serveListener responds to all requests at a listener, each on a new connection, and lists it
// as a server.
func serveListener(t *testing.T, f *gateway.Fixture, instance string, l net.Listener) {
	t.Helper()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Signature", "by-"+instance)
		_, _ = fmt.Fprint(w, "whole")
	})}
	server.SetKeepAlivesEnabled(false)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	f.ListServer(&gateway.Server{Instance: instance, Addr: l.Addr().String()}, "ready")
}

// dialTimeout is the gateway's timeout for a connection attempt to a server.
const dialTimeout = 250 * time.Millisecond

// Guards against rejecting a request although a server without a limit is available: one
// connection attempt to that server timed out, and the only other server is at its limit.
func TestServerIsRetriedAfterDialTimeout(t *testing.T) {
	for _, stall := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 220 * time.Millisecond} {
		t.Run(stall.String(), func(t *testing.T) {
			t.Parallel()
			f := gateway.NewFixture(t, gateway.Options{})
			f.StartServer("limited", respondWithLimit(0.1))
			l := newStallableListener(t)
			serveListener(t, f, "free", l)
			f.WaitFor("the limit to be known", func() bool { f.Post("/safe/x", "warm"); return f.Reached("warm", "limited") })
			for i := range 6 {
				// Successful requests between the stalls: a server that fails often is ejected
				// for a while.
				for range 20 {
					if got := f.Post("/safe/x", "between"); got.Status != http.StatusOK {
						t.Fatalf("got %+v while a server without a limit is available", got)
					}
				}
				took := l.stall(t, stall)
				path := []string{"/safe/x", "/unsafe/x"}[i%2]
				if got := f.Post(path, fmt.Sprintf("busy-%d", i)); got.Status != http.StatusOK && <-took < dialTimeout {
					t.Errorf("%s: got %+v, a server without a limit is available", path, got)
				}
			}
		})
	}
}

// The log entry of a request that reached no server contains the number of failed connection
// attempts.
func TestLogEntryCountsFailedConnectionAttempts(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	f := gateway.NewFixture(t, gateway.Options{Log: zap.New(core)})
	server := f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/unsafe/x", "warm").Status == http.StatusOK })
	server.Stop()
	f.Post("/unsafe/x", "gone")
	expectLogEntry(t, logs, "gone", "request_refused", map[string]any{"reason": "servers_unreachable", "sends": int64(0), "unreached": int64(2)})
}
