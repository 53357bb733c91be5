package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Guards against a response that is given up on because its server said several times before that it
// works on the request.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	for name, count := range map[string]int{"none": 0, "several": 20, "without end": 3 * maxInformationalResponses} {
		t.Run(name, func(t *testing.T) {
			addr, _ := newScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, ok := readRequest(reader); ok {
					_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", count)+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			response, err := NewPool().Do(ctx, ServerInstance{Addr: addr}, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Matches: func(http.Header) bool { return true }})
			if count > maxInformationalResponses {
				if !errors.Is(err, ErrIncomplete) {
					t.Errorf("%d informational responses: %v, want ErrIncomplete", count, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(response); err != nil || string(body) != "ok" || response.Status != http.StatusOK {
				t.Errorf("status %d, body %q, %v", response.Status, body, err)
			}
		})
	}
}
