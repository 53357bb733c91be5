package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// readTimeout bounds the wait for each response; it is longer than any route's timeout.
const readTimeout = 6 * time.Second

// rawConn is a caller's connection on which tests write their requests as raw bytes.
type rawConn struct {
	*net.TCPConn
	t      testing.TB
	reader *bufio.Reader
}

// dialRaw opens a caller's connection to the gateway.
func dialRaw(t testing.TB, f *gateway.Fixture) *rawConn {
	t.Helper()
	c, err := net.Dial("tcp", f.GatewayAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return newRawConn(t, c)
}

// newRawConn wraps an open TCP connection.
func newRawConn(t testing.TB, c net.Conn) *rawConn {
	return &rawConn{TCPConn: c.(*net.TCPConn), t: t, reader: bufio.NewReader(c)}
}

// send writes text and fails the test on an error.
func (c *rawConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

// receive reads the response to a request with the given method.
func (c *rawConn) receive(method string) gateway.Response {
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return gateway.Response{Err: err}
	}
	if resp.Close {
		// http.ReadResponse removes the header.
		resp.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(resp.Body)
	return gateway.Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}

// requestHead returns the head of a request authorized with key-1, with additional header
// lines.
func requestHead(method, path, id string, lines ...string) string {
	message := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-1\r\n", method, path, id)
	for _, line := range lines {
		message += line + "\r\n"
	}
	return message + "\r\n"
}

// postHead returns the head of a POST with a Content-Length.
func postHead(path, id string, length int, lines ...string) string {
	return requestHead(http.MethodPost, path, id, append(lines, fmt.Sprintf("Content-Length: %d", length))...)
}

// unsignedSuccess reports whether a response has a 2xx status but no backend server's
// signature.
func unsignedSuccess(got gateway.Response) bool {
	return got.Status >= 200 && got.Status < 300 && got.Header.Get("X-Signature") == ""
}

// respondOnRelease returns a script that sends a complete response once release is closed.
func respondOnRelease(body string) (script gateway.Script, release chan struct{}) {
	release = make(chan struct{})
	return func(c net.Conn, r *gateway.ReceivedRequest) bool {
		<-release
		return gateway.Respond(body)(c, r)
	}, release
}

// newServingFixture starts a fixture with one server and waits until the gateway serves
// requests.
func newServingFixture(t *testing.T, o gateway.Options) (*gateway.Fixture, *gateway.Server) {
	t.Helper()
	f := gateway.NewFixture(t, o)
	server := f.StartServer("i-1", gateway.Respond("whole"))
	f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == 200 })
	return f, server
}
