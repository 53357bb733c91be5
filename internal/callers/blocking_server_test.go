package callers

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

	"go.uber.org/zap"
)

// blockingServer is a Server with an idle timeout whose connections are pipes that can
// be blocked. It runs in a synctest bubble.
type blockingServer struct {
	t testing.TB
	// timeout is the current idle timeout in nanoseconds.
	timeout atomic.Int64
	// handled counts the requests that reached the handler.
	handled atomic.Int64
	// onHandled is called in the handler before the response, if set.
	onHandled atomic.Pointer[func()]
	server    *Server
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// newBlockingServer starts a server with the given idle timeout.
func newBlockingServer(t testing.TB, idleTimeout time.Duration) *blockingServer {
	s := &blockingServer{t: t, incoming: make(chan net.Conn), closed: make(chan struct{})}
	s.timeout.Store(int64(idleTimeout))
	s.server = New(s, Config{Handler: s, HeaderTimeout: 10 * time.Second, MaxHeaderBytes: 1 << 16, IdleTimeout: s.idleTimeout, Log: zap.NewNop()})
	go s.server.Serve()
	return s
}

func (s *blockingServer) idleTimeout() time.Duration { return time.Duration(s.timeout.Load()) }

// lowerTimeout applies a lower idle timeout.
func (s *blockingServer) lowerTimeout(timeout time.Duration) {
	s.timeout.Store(int64(timeout))
	s.server.ApplyIdleTimeout()
}

// shutdown closes the server and all connections.
func (s *blockingServer) shutdown() { _ = s.server.Close() }

// ServeHTTP implements http.Handler: it reads the whole request and responds.
func (s *blockingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.handled.Add(1)
	if onHandled := s.onHandled.Load(); onHandled != nil {
		(*onHandled)()
	}
	_, _ = io.WriteString(w, "whole")
}

// Accept implements net.Listener.
func (s *blockingServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.incoming:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *blockingServer) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

// Addr implements net.Listener.
func (s *blockingServer) Addr() net.Addr { return &net.TCPAddr{} }

// connect opens a connection and completes one request on it, so that it is idle.
func (s *blockingServer) connect() *callerConn {
	serverEnd, callerEnd := net.Pipe()
	c := &callerConn{Conn: callerEnd, reader: bufio.NewReader(callerEnd), server: &blockingConn{Conn: serverEnd}}
	s.incoming <- c.server
	if err := c.roundTrip(); err != nil {
		s.t.Fatalf("first request of a connection: %v", err)
	}
	return c
}

// callerConn is the caller's end of a connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	server *blockingConn
}

const getRequest = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

// roundTrip sends a request and reads its response.
func (c *callerConn) roundTrip() error {
	if _, err := io.WriteString(c, getRequest); err != nil {
		return err
	}
	return c.readResponse()
}

// readResponse reads a complete response.
func (c *callerConn) readResponse() error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != "whole" {
		err = errors.New("unexpected response body: " + string(body))
	}
	return err
}

// blockingConn is the server's end of a connection. Its reads and closes can be
// blocked, to simulate a process that is suspended after bytes have reached its socket
// or after it has decided to close.
type blockingConn struct {
	net.Conn
	// mu guards readBlocker and closeBlocker; no other lock is acquired while it is held.
	mu           sync.Mutex
	readBlocker  chan struct{}
	closeBlocker chan struct{}
}

// blockReads withholds received bytes from the server until release is called.
func (c *blockingConn) blockReads() (release func()) {
	blocked := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBlocker = blocked
	return sync.OnceFunc(func() { close(blocked) })
}

// blockCloses keeps the connection open after the server closes it, until release is
// called.
func (c *blockingConn) blockCloses() (release func()) {
	blocked := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeBlocker = blocked
	return sync.OnceFunc(func() { close(blocked) })
}

// Read implements net.Conn.
func (c *blockingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	blocked := c.readBlocker
	c.mu.Unlock()
	if blocked != nil && n > 0 {
		<-blocked
	}
	return n, err
}

// Close implements net.Conn.
func (c *blockingConn) Close() error {
	c.mu.Lock()
	blocked := c.closeBlocker
	c.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	return c.Conn.Close()
}
