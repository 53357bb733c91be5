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

	"github.com/applepier/applepier/internal/settings"
)

// closeDelay is how much longer than its limit a connection may rest.
const closeDelay = time.Second

// testIdleLimit is for how long connections may rest in these tests.
const testIdleLimit = 15 * time.Second

// slowConn is a connection in a process that stands still at the worst moment:
// between the decision to close it and the close, for as long as it takes until
// a request has been read, a second at the most.
type slowConn struct {
	net.Conn
	requestRead <-chan struct{}
	// closing says that it is being closed already.
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

// singleConnListener is a listener that has one connection.
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

// postRequest is a request that may run once at most.
const postRequest = "POST /flag HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"

// TestIdleLimitDoesNotCutRequest tells of a request that reached a backend
// server and was cut.
//
// Seen: a caller sent a whole request, which may run once at most, on a
// connection that it had kept; a backend server began with it; the caller got
// neither an answer nor a refusal, but the end of its connection. The gateway
// noted that the caller had left.
//
// How: the connection had rested for as long as the gateway leaves it open. The
// gateway stood still at that moment, since a desired state of thousands of
// routes filled a narrow link and a small part of a core; when it went on, the
// request could be read and the timer was due.
//
// Cause: a timer closed the connection from a goroutine of its own, without
// asking whether it still rested, while another one read the request and handed
// it on.
//
// Proof: the log's line of the request's end, once it told what ended the
// connection: closed here as idle after 16.018 s of rest under a limit of 15 s,
// 0.8 ms after the request had been read.
func TestIdleLimitDoesNotCutRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requestRead := make(chan struct{})
		serverConn, clientConn := net.Pipe()
		var started atomic.Int32
		server := newClientServer(newSingleConnListener(&slowConn{Conn: serverConn, requestRead: requestRead}), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if started.Add(1) == 2 {
				close(requestRead)
			}
			// A backend server works on it, and stops when the caller has left.
			select {
			case <-time.After(20 * time.Millisecond):
				_, _ = io.WriteString(w, "done")
			case <-r.Context().Done():
			}
		}), func() time.Duration { return testIdleLimit }, zap.NewNop())
		served := make(chan struct{})
		go func() {
			defer close(served)
			server.Serve()
		}()
		reader := bufio.NewReader(clientConn)
		if err := exchangeRequest(clientConn, reader, postRequest); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testIdleLimit + closeDelay + time.Millisecond)
		err := exchangeRequest(clientConn, reader, postRequest)
		switch handled := started.Load() == 2; {
		case !handled:
			t.Errorf("the request that came at the end of the rest wasn't handed on: %v", err)
		case err != nil:
			t.Errorf("a request that was handed on has no answer: %v", err)
		}
		_, _ = server.Close(), clientConn.Close()
		<-served
	})
}

// A graceful stop closes the connections that rest. One on which a request has
// begun to come doesn't rest any more, however long its head is on its way.
func TestRequestStartedBeforeDrainIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serverConn, clientConn := net.Pipe()
		server := newClientServer(newSingleConnListener(serverConn), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "done")
		}), func() time.Duration { return testIdleLimit }, zap.NewNop())
		served, drained := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(served)
			server.Serve()
		}()
		reader := bufio.NewReader(clientConn)
		if err := exchangeRequest(clientConn, reader, postRequest); err != nil {
			t.Fatal(err)
		}
		g := &gateway{settings: settings.Gateway{Grace: 8 * time.Second}, log: zap.NewNop()}
		go func() {
			defer close(drained)
			g.drain(server)
		}()
		time.Sleep(drainDelay - time.Millisecond)
		if _, err := io.WriteString(clientConn, postRequest[:len(postRequest)/2]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		if err := exchangeRequest(clientConn, reader, postRequest[len(postRequest)/2:]); err != nil {
			t.Errorf("a request that began before the gateway stopped taking them has no answer: %v", err)
		}
		_ = clientConn.Close()
		<-drained
		<-served
	})
}

// exchangeRequest sends a request, or the rest of one, and reads the whole answer.
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
		err = errors.New("another body: " + string(body))
	}
	return err
}
