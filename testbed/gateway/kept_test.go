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

// responseTimeout is the maximum time that a client waits for a response.
const answerWithin = 10 * time.Second

// keepAliveConn is a client connection that stays open between requests.
type keptConn struct {
	net.Conn
	in *bufio.Reader
	// idleSince is when the last response was complete.
	rests time.Time
}

// dialKeepAlive opens a client connection to a gateway.
func keep(t *testing.T, f *gateway.Fleet) *keptConn {
	t.Helper()
	c, err := net.Dial("tcp", f.Front)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &keptConn{Conn: c, in: bufio.NewReader(c)}
}

// send writes bytes of a request. Write errors are ignored; receiveResponse reports a failed
// connection.
func (k *keptConn) send(text string) { _, _ = io.WriteString(k, text) }

// receiveResponse reads a complete response; an error means that there is none.
func (k *keptConn) answer() (status int, err error) {
	if err := k.SetReadDeadline(time.Now().Add(answerWithin)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	k.rests = time.Now()
	return resp.StatusCode, nil
}

// mustServe sends a request and fails the test unless it is served.
func (k *keptConn) served(t *testing.T, id string) {
	t.Helper()
	k.send(post("/unsafe/x", id, 0))
	if status, err := k.answer(); err != nil || status != http.StatusOK {
		t.Fatalf("request %s: status %d, %v", id, status, err)
	}
}
