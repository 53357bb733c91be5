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

// closeMargin is how much longer than its limit a connection may rest.
const closeMargin = time.Second

// restLimit is for how long connections may rest in these tests.
const restLimit = 15 * time.Second

// slowConn is a connection in a process that stands still at the worst moment:
// between the decision to close it and the close, for as long as it takes until
// a request has been read, a second at the most.
type slowConn struct {
	net.Conn
	read <-chan struct{}
	// begun says that it is being closed already.
	begun atomic.Bool
}

func (c *slowConn) Close() error {
	if c.begun.CompareAndSwap(false, true) {
		select {
		case <-c.read:
		case <-time.After(time.Second):
		}
	}
	return c.Conn.Close()
}

// oneConn is a listener that has one connection.
type oneConn struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func listenOnce(c net.Conn) *oneConn {
	l := &oneConn{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conns <- c
	return l
}

func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *oneConn) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// post is a request that may run once at most.
const post = "POST /flag HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"

// TestRequestIsNotCutByTheIdleLimit tells of a request that reached a backend
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
func TestRequestIsNotCutByTheIdleLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		read := make(chan struct{})
		ours, theirs := net.Pipe()
		var begun atomic.Int32
		front := newFront(listenOnce(&slowConn{Conn: ours, read: read}), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if begun.Add(1) == 2 {
				close(read)
			}
			// A backend server works on it, and stops when the caller has left.
			select {
			case <-time.After(20 * time.Millisecond):
				_, _ = io.WriteString(w, "done")
			case <-r.Context().Done():
			}
		}), func() time.Duration { return restLimit }, zap.NewNop())
		over := make(chan struct{})
		go func() {
			defer close(over)
			front.Serve()
		}()
		in := bufio.NewReader(theirs)
		if err := ask(theirs, in, post); err != nil {
			t.Fatal(err)
		}
		time.Sleep(restLimit + closeMargin + time.Millisecond)
		err := ask(theirs, in, post)
		switch handedOn := begun.Load() == 2; {
		case !handedOn:
			t.Errorf("the request that came at the end of the rest wasn't handed on: %v", err)
		case err != nil:
			t.Errorf("a request that was handed on has no answer: %v", err)
		}
		_, _ = front.Close(), theirs.Close()
		<-over
	})
}

// A graceful stop closes the connections that rest. One on which a request has
// begun to come doesn't rest any more, however long its head is on its way.
func TestRequestThatBeganBeforeTheDrainIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		front := newFront(listenOnce(ours), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "done")
		}), func() time.Duration { return restLimit }, zap.NewNop())
		over, drained := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(over)
			front.Serve()
		}()
		in := bufio.NewReader(theirs)
		if err := ask(theirs, in, post); err != nil {
			t.Fatal(err)
		}
		g := &gateway{settings: settings.Gateway{Grace: 8 * time.Second}, log: zap.NewNop()}
		go func() {
			defer close(drained)
			g.drain(front)
		}()
		time.Sleep(drainNotice - time.Millisecond)
		if _, err := io.WriteString(theirs, post[:len(post)/2]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		if err := ask(theirs, in, post[len(post)/2:]); err != nil {
			t.Errorf("a request that began before the gateway stopped taking them has no answer: %v", err)
		}
		_ = theirs.Close()
		<-drained
		<-over
	})
}

// ask sends a request, or the rest of one, and reads the whole answer.
func ask(c net.Conn, in *bufio.Reader, request string) error {
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != "done" {
		err = errors.New("another body: " + string(body))
	}
	return err
}
