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

// readTimeout bounds each read of a client; it is far longer than any route's timeout.
const patience = 6 * time.Second

// rawConn is a client connection for requests written byte by byte.
type conn struct {
	*net.TCPConn
	t  testing.TB
	in *bufio.Reader
}

// dialRaw opens a client connection to the gateway.
func connect(t testing.TB, f *gateway.Fleet) *conn {
	t.Helper()
	c, err := net.Dial("tcp", f.Front)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return wrap(t, c)
}

// newRawConn wraps an open TCP connection.
func wrap(t testing.TB, c net.Conn) *conn {
	return &conn{TCPConn: c.(*net.TCPConn), t: t, in: bufio.NewReader(c)}
}

// send writes text and fails the test on an error.
func (c *conn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

// receive reads the response to a request with the given method.
func (c *conn) receive(method string) gateway.Got {
	_ = c.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return gateway.Got{Err: err}
	}
	if resp.Close {
		// http.ReadResponse removes the header.
		resp.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(resp.Body)
	return gateway.Got{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}

// requestHead returns the head of a request authorized with key-1, with additional header
// lines.
func head(method, path, id string, lines ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-1\r\n", method, path, id)
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

// postHead returns the head of a POST with a Content-Length.
func post(path, id string, length int, lines ...string) string {
	return head(http.MethodPost, path, id, append(lines, fmt.Sprintf("Content-Length: %d", length))...)
}

// unsignedSuccess reports whether a response has a 2xx status but no backend server's
// signature.
func unsigned(got gateway.Got) bool {
	return got.Status >= 200 && got.Status < 300 && got.Header.Get("X-Signature") == ""
}

// respondOnRelease returns a script that sends a complete response once release is closed.
func answerWhenTold(body string) (script gateway.Script, release chan struct{}) {
	release = make(chan struct{})
	return func(c net.Conn, a *gateway.Arrival) bool {
		<-release
		return gateway.Answer(body)(c, a)
	}, release
}

// newServingFixture starts a fixture with one server and waits until the gateway serves
// requests.
func served(t *testing.T, o gateway.Options) (*gateway.Fleet, *gateway.Server) {
	t.Helper()
	f := gateway.NewFleet(t, o)
	server := f.Serve("i-1", gateway.Answer("whole"))
	f.Wait("the gateway to serve", func() bool { return f.Call("/safe/x", "warm").Status == 200 })
	return f, server
}
