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

// patience bounds each wait of a caller here: far longer than any of the routes'
// timeouts.
const patience = 6 * time.Second

// conn is a caller's connection on which bytes are sent as they are.
type conn struct {
	*net.TCPConn
	t  testing.TB
	in *bufio.Reader
}

// connect opens a connection to the gateway.
func connect(t testing.TB, f *gateway.Fleet) *conn {
	t.Helper()
	c, err := net.Dial("tcp", f.Front)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return wrap(t, c)
}

// wrap makes a caller's connection of one that is open.
func wrap(t testing.TB, c net.Conn) *conn {
	return &conn{TCPConn: c.(*net.TCPConn), t: t, in: bufio.NewReader(c)}
}

// send sends bytes.
func (c *conn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

// receive reads the answer to a request with a method.
func (c *conn) receive(method string) gateway.Got {
	_ = c.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return gateway.Got{Err: err}
	}
	if resp.Close {
		// Reading takes it out of the headers.
		resp.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(resp.Body)
	return gateway.Got{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}

// head is a request's head with the first key, and with more lines.
func head(method, path, id string, lines ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-1\r\n", method, path, id)
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

// post is the head of a request with a body of a length.
func post(path, id string, length int, lines ...string) string {
	return head(http.MethodPost, path, id, append(lines, fmt.Sprintf("Content-Length: %d", length))...)
}

// unsigned reports whether an answer looks like a success and isn't a backend
// server's.
func unsigned(got gateway.Got) bool {
	return got.Status >= 200 && got.Status < 300 && got.Header.Get("X-Signature") == ""
}

// answerWhenTold scripts a whole answer that is given once release is closed.
func answerWhenTold(body string) (script gateway.Script, release chan struct{}) {
	release = make(chan struct{})
	return func(c net.Conn, a *gateway.Arrival) bool {
		<-release
		return gateway.Answer(body)(c, a)
	}, release
}

// served starts a fleet with one server that answers whole, and waits until it
// is used.
func served(t *testing.T, o gateway.Options) (*gateway.Fleet, *gateway.Server) {
	t.Helper()
	f := gateway.NewFleet(t, o)
	server := f.Serve("i-1", gateway.Answer("whole"))
	f.Wait("it is served", func() bool { return f.Call("/safe/x", "warm").Status == 200 })
	return f, server
}
