package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
)

// Guards against sending a request to a server that no longer takes any: while the connection was being
// opened it may have begun to drain. The connection must stay usable.
func TestWithheldRequestIsNotSent(t *testing.T) {
	received := make(chan string, 10)
	addr, accepted := newScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			received <- id
			_, _ = io.WriteString(conn, response(id, "whole"))
		}
	})
	pool, may := NewPool(), false
	request := &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte("body"), MaxIdle: maxUnacknowledged,
		MaySend: func() bool { return may }, Matches: func(http.Header) bool { return true },
	}
	if _, err := pool.Do(context.Background(), ServerInstance{Addr: addr}, request); !errors.Is(err, ErrWithheld) {
		t.Fatalf("error %v", err)
	}
	may = true
	r, err := pool.Do(context.Background(), ServerInstance{Addr: addr}, request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(r); err != nil {
		t.Fatal(err)
	}
	if len(received) != 1 || accepted.Load() != 1 {
		t.Errorf("%d requests on %d connections, want one of each", len(received), accepted.Load())
	}
}

// Guards against missing what a server says of itself in a late response to an earlier request.
func TestHeaderOfSkippedResponseIsReported(t *testing.T) {
	addr, _ := newScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if id, ok := readRequest(reader); ok {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: late\r\nLeaves: 1\r\nContent-Length: 2\r\n\r\nok"+response(id, "whole"))
		}
	})
	leaves := 0
	r, err := NewPool().Do(context.Background(), ServerInstance{Addr: addr}, &Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}},
		OnHeader: func(_ int, h http.Header) { leaves += len(h["Leaves"]) }, Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	})
	if err != nil {
		t.Fatal(err)
	}
	r.Abort()
	if leaves != 1 {
		t.Errorf("the header of the late response was reported %d times", leaves)
	}
}
