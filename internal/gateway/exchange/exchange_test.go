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

// scripted listens and hands each connection to script.
func scripted(t *testing.T, script func(c net.Conn, in *bufio.Reader)) (addr string, opened *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	opened = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), opened
}

// take reads a request whole and returns its id.
func take(in *bufio.Reader) (id string, ok bool) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id"), true
}

// What nobody waits for any more doesn't reach a server, on a kept connection
// either.
func TestCancelledRequestIsNotSent(t *testing.T) {
	var arrived atomic.Int32
	addr, opened := scripted(t, func(c net.Conn, in *bufio.Reader) {
		for {
			id, ok := take(in)
			if !ok {
				return
			}
			arrived.Add(1)
			_, _ = io.WriteString(c, reply(id, "whole"))
		}
	})
	p := NewPool()
	if _, err := ask(t, p, addr, "1", nil); err != nil {
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		_, err := p.Do(cancelled, Peer{Addr: addr, Instance: "i"}, &Request{Method: http.MethodPost, Target: "/", Header: http.Header{"Id": {"2"}}, Young: time.Hour, Mine: func(http.Header) bool { return true }})
		if !errors.Is(err, ErrNotSent) {
			t.Fatalf("got %v", err)
		}
	}
	if _, err := ask(t, p, addr, "3", nil); err != nil {
		t.Fatal(err)
	}
	if arrived.Load() != 2 || opened.Load() != 1 {
		t.Errorf("%d requests arrived on %d connections", arrived.Load(), opened.Load())
	}
}

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func ask(t *testing.T, p *Pool, addr, id string, body []byte) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	answer, err := p.Do(ctx, Peer{Addr: addr, Instance: "i"}, &Request{
		Method: "POST", Target: "/a%2Fb?x=1", Host: "h", Header: http.Header{"Id": {id}}, Body: body, Young: time.Hour,
		Mine: func(h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer answer.Abandon()
	text, err := io.ReadAll(answer)
	return string(text), err
}

func mustAsk(t *testing.T, p *Pool, addr, id string) {
	t.Helper()
	text, err := ask(t, p, addr, id, nil)
	if err != nil || text != "for "+id {
		t.Fatalf("%s: %q, %v", id, text, err)
	}
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	addr, opened := scripted(t, func(c net.Conn, in *bufio.Reader) {
		for id, ok := take(in); ok; id, ok = take(in) {
			_, _ = io.WriteString(c, reply(id, "for "+id))
		}
	})
	p := NewPool()
	for i := range 5 {
		mustAsk(t, p, addr, strconv.Itoa(i))
	}
	if opened.Load() != 1 {
		t.Errorf("%d connections for 5 requests in turn", opened.Load())
	}
	p.Sweep(time.Now(), func(Peer) bool { return false })
	mustAsk(t, p, addr, "after")
	if opened.Load() != 2 {
		t.Errorf("a connection to a peer that isn't wanted was used")
	}
}

func TestSurplusBytesSpoilAConnection(t *testing.T) {
	sent := make(chan struct{}, 10)
	addr, opened := scripted(t, func(c net.Conn, in *bufio.Reader) {
		for id, ok := take(in); ok; id, ok = take(in) {
			_, _ = io.WriteString(c, reply(id, "for "+id))
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, reply(id, "again"))
			sent <- struct{}{}
		}
	})
	p := NewPool()
	mustAsk(t, p, addr, "1")
	<-sent
	mustAsk(t, p, addr, "2")
	if opened.Load() != 2 {
		t.Errorf("%d connections, a connection with an extra answer must not be used again", opened.Load())
	}
}

func TestAnswersToOthersArePassedOver(t *testing.T) {
	addr, opened := scripted(t, func(c net.Conn, in *bufio.Reader) {
		for id, ok := take(in); ok; id, ok = take(in) {
			_, _ = io.WriteString(c, reply("0", "an earlier one")+reply(id, "for "+id))
		}
	})
	p := NewPool()
	mustAsk(t, p, addr, "1")
	mustAsk(t, p, addr, "2")
	if opened.Load() != 2 {
		t.Errorf("%d connections, one with a foreign answer must not be used again", opened.Load())
	}
}

func TestWhatIsCertain(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := closed.Addr().String()
	_ = closed.Close()
	cases := map[string]struct {
		answer string
		want   error
	}{
		"cut in the head": {"HTTP/1.1 200 OK\r\nId: 1\r\nConte", ErrBroken},
		"cut in the body": {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf", ErrBroken},
		"cut in chunks":   {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", ErrBroken},
		"no HTTP":         {"\x00\x01garbage\r\n\r\n", ErrBroken},
		"others only":     {reply("0", "a") + reply("0", "b") + reply("0", "c") + reply("0", "d") + reply("0", "e"), ErrBroken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr, _ := scripted(t, func(conn net.Conn, in *bufio.Reader) {
				_, _ = take(in)
				_, _ = io.WriteString(conn, c.answer)
			})
			if _, err := ask(t, NewPool(), addr, "1", nil); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
	if _, err := ask(t, NewPool(), refusing, "1", nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("refused connection: %v, want %v", err, ErrNotSent)
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	addr, _ := scripted(t, func(c net.Conn, in *bufio.Reader) {
		_, _ = take(in)
		_, _ = in.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool().Do(ctx, Peer{Addr: addr}, &Request{Method: "GET", Target: "/", Host: "h", Young: time.Hour, Mine: func(http.Header) bool { return true }})
	if !errors.Is(err, ErrCancelled) {
		t.Errorf("got %v", err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the backend server isn't told")
	}
}

// A server may answer before it has read a long body. What would follow on the
// connection would be taken for the rest.
func TestEarlyAnswerSpoilsAConnection(t *testing.T) {
	addr, opened := scripted(t, func(c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		_, _ = io.WriteString(c, reply(id, "for "+id))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, in)
	})
	p := NewPool()
	for _, id := range []string{"1", "2"} {
		if text, err := ask(t, p, addr, id, make([]byte, 8<<20)); err != nil || text != "for "+id {
			t.Fatalf("%s: %q %v", id, text, err)
		}
	}
	if opened.Load() != 2 {
		t.Errorf("%d connections for 2 requests", opened.Load())
	}
}

func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	addr, opened := scripted(t, func(c net.Conn, in *bufio.Reader) {
		id, _ := take(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nfor "+id)
	})
	p := NewPool()
	mustAsk(t, p, addr, "1")
	mustAsk(t, p, addr, "2")
	if opened.Load() != 2 {
		t.Errorf("%d connections", opened.Load())
	}
	reset, _ := scripted(t, func(c net.Conn, in *bufio.Reader) {
		id, _ := take(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nfor "+id)
		time.Sleep(10 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	if text, err := ask(t, p, reset, "1", nil); !errors.Is(err, ErrBroken) {
		t.Errorf("a reset answer counts as whole: %q, %v", text, err)
	}
}

func TestKeepFor(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                  idleKept,
		"timeout=5, max=10": 5*time.Second - closeMargin,
		"max=3":             idleKept,
		"timeout=1":         0,
		"timeout=x":         idleKept,
	} {
		if got := keepFor(http.Header{"Keep-Alive": {header}}); got != want {
			t.Errorf("%q: %v, want %v", header, got, want)
		}
	}
}

func TestRequestIsPassedOnUnchanged(t *testing.T) {
	r := Request{Method: "POST", Target: "/a%2Fb//c/../d?x=%20", Host: "h.example", Header: http.Header{"A": {"1", "2"}}, Body: []byte("body")}
	want := "POST /a%2Fb//c/../d?x=%20 HTTP/1.1\r\nHost: h.example\r\nA: 1\r\nA: 2\r\nContent-Length: 4\r\n\r\nbody"
	if got := string(r.bytes()); got != want {
		t.Errorf("got %q", got)
	}
	get := Request{Method: "GET", Target: "/", Host: "h"}
	if got := string(get.bytes()); strings.Contains(got, "Content-Length") {
		t.Errorf("a GET without a body has a length: %q", got)
	}
}
