package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// front is a server of callers under an idle limit, without a network: it plays
// in a bubble of synctest, whose clock tests move on.
type front struct {
	t testing.TB
	// limit is the idle limit in force, in nanoseconds.
	limit atomic.Int64
	// handed counts the requests that were handed on.
	handed atomic.Int64
	// beside is called when a request has been handed on, before its answer.
	beside   atomic.Pointer[func()]
	server   *http.Server
	arriving chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// newFront starts a server under a limit. This is the one place that knows how
// the limit is put in force.
func newFront(t testing.TB, limit time.Duration) *front {
	f := &front{t: t, arriving: make(chan net.Conn), closed: make(chan struct{})}
	f.limit.Store(int64(limit))
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout, ConnState: newIdle(f.limitInForce).state}
	go func() { _ = f.server.Serve(f) }()
	return f
}

func (f *front) limitInForce() time.Duration { return time.Duration(f.limit.Load()) }

// end closes the server and all connections.
func (f *front) end() { _ = f.server.Close() }

// ServeHTTP implements http.Handler: it reads the request whole and answers.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	f.handed.Add(1)
	if beside := f.beside.Load(); beside != nil {
		(*beside)()
	}
	_, _ = io.WriteString(w, "whole")
}

// Accept implements net.Listener.
func (f *front) Accept() (net.Conn, error) {
	select {
	case c := <-f.arriving:
		return c, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *front) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr implements net.Listener.
func (f *front) Addr() net.Addr { return &net.TCPAddr{} }

// connect opens a connection and has one request answered on it, so that it
// rests.
func (f *front) connect() *restingConn {
	ours, theirs := net.Pipe()
	c := &restingConn{Conn: theirs, in: bufio.NewReader(theirs), server: &heldConn{Conn: ours}}
	f.arriving <- c.server
	if err := c.ask(); err != nil {
		f.t.Fatalf("the first request of a connection: %v", err)
	}
	return c
}

// restingConn is the caller's end of a connection.
type restingConn struct {
	net.Conn
	in     *bufio.Reader
	server *heldConn
}

const askOnce = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

// ask sends a request and reads its answer.
func (c *restingConn) ask() error {
	if _, err := io.WriteString(c, askOnce); err != nil {
		return err
	}
	return c.answer()
}

// answer reads a whole answer.
func (c *restingConn) answer() error {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != "whole" {
		err = errors.New("not the answer: " + string(body))
	}
	return err
}

// heldConn is the server's end, whose calls can be held: what has reached the
// socket, or a close that has been decided, waits as when the process stands
// still.
type heldConn struct {
	net.Conn
	// mu guards reads and closes; nothing is locked while it is held.
	mu     sync.Mutex
	reads  chan struct{}
	closes chan struct{}
}

// holdReads keeps what comes from the process until the returned function is
// called.
func (h *heldConn) holdReads() (release func()) {
	held := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = held
	return sync.OnceFunc(func() { close(held) })
}

// holdCloses keeps the connection open, though the process closes it, until the
// returned function is called.
func (h *heldConn) holdCloses() (release func()) {
	held := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closes = held
	return sync.OnceFunc(func() { close(held) })
}

// Read implements net.Conn.
func (h *heldConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	h.mu.Lock()
	held := h.reads
	h.mu.Unlock()
	if held != nil && n > 0 {
		<-held
	}
	return n, err
}

// Close implements net.Conn.
func (h *heldConn) Close() error {
	h.mu.Lock()
	held := h.closes
	h.mu.Unlock()
	if held != nil {
		<-held
	}
	return h.Conn.Close()
}
