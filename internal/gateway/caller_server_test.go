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
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/settings"
)

// closeDelay is how long after its idle timeout a connection may still be open.
const closeDelay = time.Second

// testIdleTimeout is the idle timeout of caller connections in these tests.
const testIdleTimeout = 15 * time.Second

// slowConn simulates a process that stalls between the decision to close a connection and the close
// itself: Close blocks until a request has been read, for at most one second.
type slowConn struct {
	net.Conn
	requestRead <-chan struct{}
	// closing is set by the first call to Close.
	closing atomic.Bool
}

func (c *slowConn) Close() error {
	if c.closing.CompareAndSwap(false, true) {
		select {
		case <-c.requestRead:
		case <-time.After(time.Second):
		}
	}
	return c.Conn.Close()
}

// singleConnListener is a net.Listener that accepts one given connection.
type singleConnListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newSingleConnListener(c net.Conn) *singleConnListener {
	l := &singleConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conns <- c
	return l
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// postRequest is a non-idempotent request, which may run at most once.
const postRequest = "POST /flag HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"

// Guards against closing a connection as idle although a request from it has already reached a
// backend server. A timer used to close idle connections from its own goroutine without checking
// that the connection was still idle, while another goroutine read a request from it and passed it
// on. The caller then got neither a response nor a refusal, and the gateway logged that the caller
// had left.
//
// It happens when the gateway stalls just as the timeout expires: both the timer and the request
// are due when it goes on.
func TestIdleTimeoutDoesNotAbortRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requestRead := make(chan struct{})
		serverConn, callerConn := net.Pipe()
		var started atomic.Int32
		server := newCallerServer(newSingleConnListener(&slowConn{Conn: serverConn, requestRead: requestRead}), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if started.Add(1) == 2 {
				close(requestRead)
			}
			// Stands for a backend server, which stops working when the caller disconnects.
			select {
			case <-time.After(20 * time.Millisecond):
				_, _ = io.WriteString(w, "done")
			case <-r.Context().Done():
			}
		}), func() time.Duration { return testIdleTimeout }, nil, zap.NewNop())
		served := make(chan struct{})
		go func() {
			defer close(served)
			server.Serve()
		}()
		reader := bufio.NewReader(callerConn)
		if err := exchangeRequest(callerConn, reader, postRequest); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testIdleTimeout + closeDelay + time.Millisecond)
		err := exchangeRequest(callerConn, reader, postRequest)
		switch handled := started.Load() == 2; {
		case !handled:
			t.Errorf("the request sent when the idle timeout expired wasn't handled: %v", err)
		case err != nil:
			t.Errorf("a request that was handled got no response: %v", err)
		}
		_, _ = server.Close(), callerConn.Close()
		<-served
	})
}

// Guards against a graceful shutdown closing a connection on which a request has started to arrive:
// the connection is no longer idle, even while its header is incomplete.
func TestRequestStartedBeforeDrainGetsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serverConn, callerConn := net.Pipe()
		server := newCallerServer(newSingleConnListener(serverConn), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "done")
		}), func() time.Duration { return testIdleTimeout }, nil, zap.NewNop())
		served, drained := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(served)
			server.Serve()
		}()
		reader := bufio.NewReader(callerConn)
		if err := exchangeRequest(callerConn, reader, postRequest); err != nil {
			t.Fatal(err)
		}
		g := &gateway{settings: settings.Gateway{ShutdownTimeout: 8 * time.Second}, router: router.New(router.Config{}, router.Bounds{}, nil), log: zap.NewNop()}
		go func() {
			defer close(drained)
			g.drain(server)
		}()
		time.Sleep(drainDelay - time.Millisecond)
		if _, err := io.WriteString(callerConn, postRequest[:len(postRequest)/2]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		if err := exchangeRequest(callerConn, reader, postRequest[len(postRequest)/2:]); err != nil {
			t.Errorf("a request that started before the drain got no response: %v", err)
		}
		_ = callerConn.Close()
		<-drained
		<-served
	})
}

// exchangeRequest sends a request, or the rest of one, and reads the complete response. It returns
// an error if the body isn't "done".
func exchangeRequest(conn net.Conn, reader *bufio.Reader, request string) error {
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != "done" {
		err = errors.New("unexpected body: " + string(body))
	}
	return err
}
