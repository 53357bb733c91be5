package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/dial/dialtest"
)

// Guards against a server that is taken for a dead one because it reads a long request only after it has
// answered it: its response would break off, and the request run elsewhere while the server works on it.
func TestServerMayReadRequestAfterResponse(t *testing.T) {
	responses := map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\n%s",
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n%s",
	}
	for name, format := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				first, second := "begin", "ended"
				_, _ = fmt.Fprintf(c, format, first)
				time.Sleep(3 * maxUnacknowledged)
				_, _ = io.WriteString(c, second)
				_, _ = io.Copy(io.Discard, req.Body)
			})
			if text, err := sendLarge(t, addr); err != nil || text != "beginended" {
				t.Errorf("%q, %v", text, err)
			}
		})
	}
}

// Guards against a connection whose dead path isn't detected any more after such a response.
func TestConnectionOfLateReaderIsNotReused(t *testing.T) {
	// The server reads the request on only once its client has the head of the response.
	gotHead := make(chan struct{}, 2)
	addr, accepted := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbe")
			select {
			case <-gotHead:
			case <-t.Context().Done():
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "gin")
		}
	})
	pool := NewPool()
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		response, err := pool.Do(ctx, ServerInstance{Addr: addr}, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, dialtest.UnreadBody), MaxIdle: time.Hour, Matches: anyHeader})
		if err != nil {
			t.Fatal(err)
		}
		gotHead <- struct{}{}
		if text, err := io.ReadAll(response); err != nil || string(text) != "begin" {
			t.Errorf("%q, %v", text, err)
		}
		cancel()
	}
	if accepted.Load() != 2 {
		t.Errorf("%d connections, want 2", accepted.Load())
	}
}
