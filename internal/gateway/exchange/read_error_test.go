package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
)

// Guards against a reader that reads on after an error, or after Abort, and takes the end that it finds
// for the end of the body.
func TestReadAfterErrorFailsAgain(t *testing.T) {
	addr, _ := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
		if id, ok := readRequest(reader); ok {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 10\r\n\r\nhalf")
		}
	})
	pool := NewPool()
	get := &Request{Method: http.MethodGet, Target: "/", Header: http.Header{"Id": {"1"}}, Matches: func(http.Header) bool { return true }}
	broken, err := pool.Do(t.Context(), ServerInstance{Addr: addr}, get)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(broken); string(body) != "half" || !errors.Is(err, ErrIncomplete) {
		t.Fatalf("got %q, %v", body, err)
	}
	if n, err := broken.Read(make([]byte, 1)); n != 0 || !errors.Is(err, ErrIncomplete) {
		t.Errorf("read after the error: got %d, %v", n, err)
	}
	aborted, err := pool.Do(t.Context(), ServerInstance{Addr: addr}, get)
	if err != nil {
		t.Fatal(err)
	}
	aborted.Abort()
	if n, err := aborted.Read(make([]byte, 1)); n != 0 || !errors.Is(err, ErrCancelled) {
		t.Errorf("read after Abort: got %d, %v", n, err)
	}
}
