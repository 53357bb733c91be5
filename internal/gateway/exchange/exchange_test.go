package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// newScriptedServer starts a server that runs handle on each connection. It returns its address and
// the number of connections accepted so far.
func newScriptedServer(t *testing.T, handle func(c net.Conn, reader *bufio.Reader)) (addr string, accepted *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted = &atomic.Int32{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

// readRequest reads a complete request and returns its ID.
func readRequest(reader *bufio.Reader) (id string, ok bool) {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id"), true
}

// Guards against sending a request on a pooled connection after its caller has disconnected. The
// connection must stay usable.
func TestCancelledRequestIsNotSent(t *testing.T) {
	var received atomic.Int32
	addr, accepted := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			received.Add(1)
			_, _ = io.WriteString(c, response(id, "whole"))
		}
	})
	pool := NewPool()
	if _, err := send(t, pool, addr, "1", nil); err != nil {
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		_, err := pool.Do(cancelled, ServerInstance{Addr: addr, ServerID: "i"}, &Request{Method: http.MethodPost, Target: "/", Header: http.Header{"Id": {"2"}}, MaxIdle: time.Hour, Matches: func(http.Header) bool { return true }})
		if !errors.Is(err, ErrNotSent) {
			t.Fatalf("got %v", err)
		}
	}
	if _, err := send(t, pool, addr, "3", nil); err != nil {
		t.Fatal(err)
	}
	if received.Load() != 2 || accepted.Load() != 1 {
		t.Errorf("%d requests received on %d connections, want 2 on 1", received.Load(), accepted.Load())
	}
}

// response returns the text of an HTTP response to the request with the given ID.
func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// send sends a POST request with the given ID and returns the response body.
func send(t *testing.T, p *Pool, addr, id string, body []byte) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := p.Do(ctx, ServerInstance{Addr: addr, ServerID: "i"}, &Request{
		Method: "POST", Target: "/a%2Fb?x=1", Host: "h", Header: http.Header{"Id": {id}}, Body: body, MaxIdle: time.Hour,
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer response.Abort()
	text, err := io.ReadAll(response)
	return string(text), err
}

// mustSend sends a request and fails the test unless the response is the one to it.
func mustSend(t *testing.T, p *Pool, addr, id string) {
	t.Helper()
	text, err := send(t, p, addr, id, nil)
	if err != nil || text != "for "+id {
		t.Fatalf("%s: %q, %v", id, text, err)
	}
}

// Sequential requests share one connection until Sweep removes it.
func TestConnectionsAreReused(t *testing.T) {
	addr, accepted := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
		for id, ok := readRequest(reader); ok; id, ok = readRequest(reader) {
			_, _ = io.WriteString(c, response(id, "for "+id))
		}
	})
	pool := NewPool()
	for i := range 5 {
		mustSend(t, pool, addr, strconv.Itoa(i))
	}
	if accepted.Load() != 1 {
		t.Errorf("%d connections for 5 sequential requests, want 1", accepted.Load())
	}
	pool.Sweep(time.Now(), func(ServerInstance) bool { return false })
	mustSend(t, pool, addr, "after")
	if accepted.Load() != 2 {
		t.Errorf("a connection to an unwanted instance was reused")
	}
}

// Guards against taking a duplicate response that arrives late for the response to the next request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	sent := make(chan struct{}, 10)
	addr, accepted := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
		for id, ok := readRequest(reader); ok; id, ok = readRequest(reader) {
			_, _ = io.WriteString(c, response(id, "for "+id))
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, response(id, "again"))
			sent <- struct{}{}
		}
	})
	pool := NewPool()
	mustSend(t, pool, addr, "1")
	<-sent
	mustSend(t, pool, addr, "2")
	if accepted.Load() != 2 {
		t.Errorf("%d connections, want 2: a connection with an extra response must not be reused", accepted.Load())
	}
}

// Guards against passing a response to an earlier request on to the caller.
func TestMismatchedResponsesAreSkipped(t *testing.T) {
	addr, accepted := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
		for id, ok := readRequest(reader); ok; id, ok = readRequest(reader) {
			_, _ = io.WriteString(c, response("0", "an earlier one")+response(id, "for "+id))
		}
	})
	pool := NewPool()
	mustSend(t, pool, addr, "1")
	mustSend(t, pool, addr, "2")
	if accepted.Load() != 2 {
		t.Errorf("%d connections, want 2: a connection with a response to another request must not be reused", accepted.Load())
	}
}

// Guards against reporting a request as not sent although the server may have run it, and the reverse.
func TestErrorClassification(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddr := listener.Addr().String()
	_ = listener.Close()
	cases := map[string]struct {
		response string
		want     error
	}{
		"truncated header":     {"HTTP/1.1 200 OK\r\nId: 1\r\nConte", ErrIncomplete},
		"truncated body":       {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf", ErrIncomplete},
		"truncated chunks":     {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", ErrIncomplete},
		"not HTTP":             {"\x00\x01garbage\r\n\r\n", ErrIncomplete},
		"other responses only": {response("0", "a") + response("0", "b") + response("0", "c") + response("0", "d") + response("0", "e"), ErrIncomplete},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr, _ := newScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				_, _ = io.WriteString(conn, c.response)
			})
			if _, err := send(t, NewPool(), addr, "1", nil); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
	if _, err := send(t, NewPool(), closedAddr, "1", nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("connection refused: %v, want %v", err, ErrNotSent)
	}
}

// Guards against a backend server that keeps working on a request after its caller has disconnected.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	addr, _ := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool().Do(ctx, ServerInstance{Addr: addr}, &Request{Method: "GET", Target: "/", Host: "h", MaxIdle: time.Hour, Matches: func(http.Header) bool { return true }})
	if !errors.Is(err, ErrCancelled) {
		t.Errorf("got %v", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection to the backend server wasn't closed")
	}
}

// A server may respond before it has read a long body. It would read the next request on the
// connection as the rest of that body, so the connection must not be reused.
func TestConnectionWithEarlyResponseIsNotReused(t *testing.T) {
	addr, accepted := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		_, _ = io.WriteString(c, response(id, "for "+id))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, reader)
	})
	pool := NewPool()
	for _, id := range []string{"1", "2"} {
		if text, err := send(t, pool, addr, id, make([]byte, 8<<20)); err != nil || text != "for "+id {
			t.Fatalf("%s: %q %v", id, text, err)
		}
	}
	if accepted.Load() != 2 {
		t.Errorf("%d connections for 2 requests, want 2", accepted.Load())
	}
}

// A body without a length ends when the server closes the connection. A reset must not count as such
// an end.
func TestResponseDelimitedByConnectionClose(t *testing.T) {
	addr, accepted := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
		id, _ := readRequest(reader)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nfor "+id)
	})
	pool := NewPool()
	mustSend(t, pool, addr, "1")
	mustSend(t, pool, addr, "2")
	if accepted.Load() != 2 {
		t.Errorf("%d connections, want 2", accepted.Load())
	}
	resetAddr, _ := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
		id, _ := readRequest(reader)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nfor "+id)
		time.Sleep(10 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	if text, err := send(t, pool, resetAddr, "1", nil); !errors.Is(err, ErrIncomplete) {
		t.Errorf("a reset response counts as complete: %q, %v", text, err)
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                  defaultKeepAlive,
		"timeout=5, max=10": 5*time.Second - keepAliveMargin,
		"max=3":             defaultKeepAlive,
		"timeout=1":         0,
		"timeout=x":         defaultKeepAlive,
	} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {header}}); got != want {
			t.Errorf("%q: %v, want %v", header, got, want)
		}
	}
}

// Guards against normalizing the path or query, as net/url does, or changing the header or body.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	post := Request{Method: "POST", Target: "/a%2Fb//c/../d?x=%20", Host: "h.example", Header: http.Header{"A": {"1", "2"}}, Body: []byte("body")}
	want := "POST /a%2Fb//c/../d?x=%20 HTTP/1.1\r\nHost: h.example\r\nA: 1\r\nA: 2\r\nContent-Length: 4\r\n\r\nbody"
	if got := string(post.encode()); got != want {
		t.Errorf("got %q", got)
	}
	get := Request{Method: "GET", Target: "/", Host: "h"}
	if got := string(get.encode()); strings.Contains(got, "Content-Length") {
		t.Errorf("a GET without a body has a Content-Length: %q", got)
	}
}
