package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/internal/logging"
)

// pipeListener is a listener for in-process connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is a Server in a synctest bubble whose callers connect by pipes.
type testServer struct {
	*Server
	t            *testing.T
	pipeListener *pipeListener
	timeout      atomic.Int64
	serveDone    chan struct{}
}

func newTestServer(t *testing.T, handler http.HandlerFunc, log *zap.Logger) *testServer {
	server := &testServer{t: t, pipeListener: &pipeListener{make(chan net.Conn), make(chan struct{})}, serveDone: make(chan struct{})}
	server.timeout.Store(int64(10 * time.Second))
	server.Server = New(server.pipeListener, Config{Handler: handler, HeaderTimeout: testHeaderTimeout, MaxHeaderBytes: 1 << 16, IdleTimeout: server.currentTimeout, Log: log})
	go func() { defer close(server.serveDone); server.Serve() }()
	return server
}

// currentTimeout returns the idle timeout.
func (s *testServer) currentTimeout() time.Duration { return time.Duration(s.timeout.Load()) }

// shutdown closes the server at once.
func (s *testServer) shutdown() {
	_ = s.Close()
	<-s.serveDone
}

// dial opens a caller's connection.
func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	serverEnd, callerEnd := net.Pipe()
	s.pipeListener.conns <- serverEnd
	return callerEnd, bufio.NewReader(callerEnd)
}

// testHeaderTimeout bounds the reading of a request header.
const testHeaderTimeout = 10 * time.Second

// responseBody is the body of every response.
const responseBody = "done"

const simpleGet = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

func readResponse(reader *bufio.Reader) error {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || string(body) != responseBody) {
		err = errors.Errorf("status %d, %q", resp.StatusCode, body)
	}
	return err
}

func roundTrip(conn net.Conn, reader *bufio.Reader) error {
	if _, err := io.WriteString(conn, simpleGet); err != nil {
		return err
	}
	return readResponse(reader)
}

// delayHandler responds after the duration in the request's path, or at once.
func delayHandler(w http.ResponseWriter, r *http.Request) {
	if delay, err := time.ParseDuration(strings.TrimPrefix(r.URL.Path, "/")); err == nil {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = io.WriteString(w, responseBody)
}

func TestIdleConnectionClosesAfterCurrentTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		s := newTestServer(t, delayHandler, zap.New(core))
		c, in := s.dial()
		if err := roundTrip(c, in); err != nil {
			t.Fatal(err)
		}
		time.Sleep(s.currentTimeout() - time.Second)
		// A request that takes longer than the idle timeout isn't idle time.
		if _, err := io.WriteString(c, "GET /1m HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		s.timeout.Store(int64(4 * time.Second))
		if err := readResponse(in); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("idle connection: read error %v, want EOF", err)
		}
		if took := time.Since(began); took != s.currentTimeout()+idleMargin+idleGrace {
			t.Errorf("closed after %v", took)
		}
		synctest.Wait()
		if len(s.conns) != 0 {
			t.Error("a closed connection is still tracked as open")
		}
		if lines.FilterMessage(logging.EventIdleConnClosed).Len() != 1 {
			t.Errorf("log lines: %v", lines.All())
		}
		s.shutdown()
	})
}

func TestRaisedTimeoutAppliesToIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		c, in := s.dial()
		if err := roundTrip(c, in); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		s.timeout.Store(int64(time.Minute))
		time.Sleep(50 * time.Second)
		if err := roundTrip(c, in); err != nil {
			t.Errorf("request after 51 s idle with a timeout of one minute: %v", err)
		}
		s.shutdown()
	})
}

func TestLoweredTimeoutAppliesToIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		c, in := s.dial()
		if err := roundTrip(c, in); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		s.timeout.Store(int64(time.Second))
		s.ApplyIdleTimeout()
		if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("idle connection: read error %v, want EOF", err)
		}
		if took := time.Since(began); took != time.Second+idleMargin+idleGrace {
			t.Errorf("closed after %v", took)
		}
		s.shutdown()
	})
}

// A request that has arrived by the idle deadline is served even if it hasn't been read
// yet.
func TestRequestReceivedAtIdleTimeoutIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		for range 100 {
			c, in := s.dial()
			if err := roundTrip(c, in); err != nil {
				t.Fatal(err)
			}
			time.Sleep(s.currentTimeout() + idleMargin)
			if err := roundTrip(c, in); err != nil {
				t.Errorf("request at the idle deadline: %v", err)
			}
			_ = c.Close()
		}
		s.shutdown()
	})
}

// A pipelined request doesn't count as idle time, however long it and its body take.
func TestPipelinedRequestIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				t.Errorf("reading a body: %v", err)
			}
			delayHandler(w, r)
		}, zap.NewNop())
		c, in := s.dial()
		go func() {
			_, _ = io.WriteString(c, simpleGet+"POST /1m HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\n")
			time.Sleep(s.currentTimeout() + 2*idleMargin)
			_, _ = io.WriteString(c, "body")
		}()
		for range 2 {
			if err := readResponse(in); err != nil {
				t.Error(err)
			}
		}
		s.shutdown()
	})
}

// A drain closes idle connections, waits for requests in progress, and serves the first
// request on a connection that was opened just before.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		idle, idleReader := s.dial()
		if err := roundTrip(idle, idleReader); err != nil {
			t.Fatal(err)
		}
		active, activeReader := s.dial()
		if _, err := io.WriteString(active, "GET /3s HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		fresh, freshReader := s.dial()
		synctest.Wait()
		began := time.Now()
		drained := make(chan time.Duration)
		go func() {
			if err := s.Drain(t.Context()); err != nil {
				t.Error(err)
			}
			drained <- time.Since(began)
		}()
		if _, err := idleReader.ReadByte(); !errors.Is(err, io.EOF) || time.Since(began) > idleGrace {
			t.Errorf("idle connection: read error %v after %v", err, time.Since(began))
		}
		time.Sleep(firstRequestTimeout / 2)
		if err := roundTrip(fresh, freshReader); err != nil {
			t.Errorf("connection opened just before the drain: %v", err)
		}
		if err := readResponse(activeReader); err != nil {
			t.Errorf("request in progress: %v", err)
		}
		if took := <-drained; took != 3*time.Second {
			t.Errorf("drained after %v", took)
		}
		<-s.serveDone
	})
}

// A request in progress at a drain finishes, and no further request is accepted on its
// connection: one accepted late would be aborted when the drain times out.
func TestDrainServesNoFurtherRequests(t *testing.T) {
	for name, pipelined := range map[string]string{"sent after the response": "", "pipelined with the request": simpleGet} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var handled atomic.Int32
				s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) { handled.Add(1); delayHandler(w, r) }, zap.NewNop())
				c, in := s.dial()
				if _, err := io.WriteString(c, "GET /3s HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				if _, err := io.WriteString(c, pipelined); err != nil {
					t.Fatal(err)
				}
				drained := make(chan error)
				go func() { drained <- s.Drain(t.Context()) }()
				if err := readResponse(in); err != nil {
					t.Error(err)
				}
				if pipelined == "" {
					// The server may accept or reject the bytes.
					_, _ = io.WriteString(c, simpleGet)
				}
				if err := readResponse(in); err == nil {
					t.Error("a later request was served")
				}
				if err := <-drained; err != nil {
					t.Error(err)
				}
				<-s.serveDone
				if n := handled.Load(); n != 1 {
					t.Errorf("%d requests were handled", n)
				}
			})
		})
	}
}

func TestDrainTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		c, in := s.dial()
		if _, err := io.WriteString(c, "GET /1h HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := s.Drain(ctx); !errors.Is(err, ErrDrainTimeout) {
			t.Errorf("got %v", err)
		}
		if err := readResponse(in); err == nil {
			t.Error("an aborted request got a response")
		}
		<-s.serveDone
	})
}

func TestDrainWithoutConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, delayHandler, zap.NewNop())
		if err := s.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		<-s.serveDone
	})
}

// The close reason distinguishes a close by the caller from one by this process.
func TestCloseReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		statuses := make(chan ConnStatus, 1)
		s := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			statuses <- ConnStatusOf(r.Context())
		}, zap.NewNop())
		c, _ := s.dial()
		if _, err := io.WriteString(c, simpleGet); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		_ = c.Close()
		if status := <-statuses; status.CloseReason != ReasonCallerClosed || status.Requests != 1 {
			t.Errorf("closed by the caller: %+v", status)
		}
		c, _ = s.dial()
		if _, err := io.WriteString(c, simpleGet); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		s.shutdown()
		if status := <-statuses; status.CloseReason != ReasonServerClosed {
			t.Errorf("closed by the server: %+v", status)
		}
	})
}

func TestPanicsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		s := newTestServer(t, func(http.ResponseWriter, *http.Request) { panic("broken") }, zap.New(core))
		c, in := s.dial()
		if err := roundTrip(c, in); err == nil {
			t.Error("got a response from a handler that panicked")
		}
		synctest.Wait()
		if lines.FilterMessage(logging.EventServerError).Len() != 1 {
			t.Errorf("log lines: %v", lines.All())
		}
		s.shutdown()
	})
}
