package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a response that ended with its connection being taken for one whose end the server has
// marked: the end of a server looks the same.
func TestEndsWithConnection(t *testing.T) {
	cases := map[string]struct {
		method, response string
		want             bool
	}{
		"length":                   {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		"chunks":                   {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"neither":                  {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nok", true},
		"neither, announced":       {http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", true},
		"HTTP/1.0":                 {http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nok", true},
		"no body":                  {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", false},
		"HEAD, neither":            {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", false},
		"length, connection close": {http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr, _ := newScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, ok := readRequest(reader); ok {
					_, _ = io.WriteString(conn, c.response)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err := NewPool().Do(ctx, ServerInstance{Addr: addr}, &Request{Method: c.method, Target: "/", Host: "h", Header: http.Header{}, Matches: func(http.Header) bool { return true }})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(response); err != nil || response.EndsWithConnection != c.want {
				t.Errorf("ends with its connection: %v, error %v; want %v", response.EndsWithConnection, err, c.want)
			}
		})
	}
}
