// Package dialtest has servers that tests of HTTP clients need.
package dialtest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// headerLineBytes is the size of each header line, in bytes.
const headerLineBytes = 1 << 10

// ServeHead starts a server whose responses have about headBytes of header lines and the given body, and
// returns its host:port.
func ServeHead(t testing.TB, headBytes int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range headBytes / headerLineBytes {
			w.Header().Add("X-Long", strings.Repeat("x", headerLineBytes))
		}
		// The client may close the connection before the end.
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
