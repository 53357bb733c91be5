package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// startPausingServer starts a Server on a TCP address that stops listening for the time that pause holds,
// once. It returns its address.
func startPausingServer(t *testing.T, pause *atomic.Int64) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l, Config{
		Handler:       http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
		HeaderTimeout: 5 * time.Second, MaxHeaderBytes: 1 << 16, IdleTimeout: func() time.Duration { return 5 * time.Second },
		Pause: func() time.Duration { return time.Duration(pause.Swap(0)) }, Log: zap.NewNop(),
	})
	served := make(chan struct{})
	go func() { defer close(served); s.Serve() }()
	t.Cleanup(func() { _ = s.Close(); <-served })
	return s, l.Addr().String()
}

// get sends a request on a new connection and returns the error, or that of a response that isn't whole.
func get(addr string) error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + addr + "/")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

// While a server pauses, new callers are refused at once instead of waiting, and connections that are open
// are served. Afterwards it listens at the same address.
func TestPausedServerRefusesNewCallers(t *testing.T) {
	var pause atomic.Int64
	_, addr := startPausingServer(t, &pause)
	kept := http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	getKept := func() error {
		resp, err := kept.Get("http://" + addr + "/")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		return err
	}
	if err := getKept(); err != nil {
		t.Fatal(err)
	}
	const pauseTime = 500 * time.Millisecond
	pause.Store(int64(pauseTime))
	// The pause begins before the next connection is accepted; this one may still be.
	_ = get(addr)
	began := time.Now()
	err := get(addr)
	if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) || time.Since(began) > pauseTime/2 {
		t.Errorf("a new caller during the pause: got %v after %v, want it refused at once", err, time.Since(began))
	}
	if err := getKept(); err != nil {
		t.Errorf("an open connection during the pause: got %v", err)
	}
	for time.Since(began) < 10*time.Second {
		if err = get(addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil || time.Since(began) < pauseTime/2 {
		t.Errorf("after the pause: got %v after %v", err, time.Since(began))
	}
}

// Guards against a shutdown that waits for the end of a pause, or after which the server listens again.
func TestDrainDuringPause(t *testing.T) {
	var pause atomic.Int64
	s, addr := startPausingServer(t, &pause)
	if err := get(addr); err != nil {
		t.Fatal(err)
	}
	pause.Store(int64(time.Hour))
	// As above, this connection may still be accepted.
	_ = get(addr)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		t.Errorf("drain: %v", err)
	}
	if err := get(addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("after the drain: got %v", err)
	}
}
