package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// responseTimeout is the maximum time that a caller waits for a response.
const responseTimeout = 10 * time.Second

// keepAliveConn is a caller's connection that stays open between requests.
type keepAliveConn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last response was complete.
	idleSince time.Time
}

// dialKeepAlive opens a caller's connection to a gateway.
func dialKeepAlive(t *testing.T, f *gateway.Fixture) *keepAliveConn {
	t.Helper()
	c, err := net.Dial("tcp", f.GatewayAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &keepAliveConn{Conn: c, reader: bufio.NewReader(c)}
}

// send writes bytes of a request. Write errors are ignored; receiveResponse reports a failed
// connection.
func (c *keepAliveConn) send(text string) { _, _ = io.WriteString(c, text) }

// receiveResponse reads a complete response; an error means that there is none.
func (c *keepAliveConn) receiveResponse() (status int, err error) {
	if err := c.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	c.idleSince = time.Now()
	return resp.StatusCode, nil
}

// mustServe sends a request and fails the test unless it is served.
func (c *keepAliveConn) mustServe(t *testing.T, id string) {
	t.Helper()
	c.send(postHead("/unsafe/x", id, 0))
	if status, err := c.receiveResponse(); err != nil || status != http.StatusOK {
		t.Fatalf("request %s: status %d, %v", id, status, err)
	}
}
