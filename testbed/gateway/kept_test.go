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

// answerWithin is how long a caller waits for an answer at most.
const answerWithin = 10 * time.Second

// keptConn is a caller's connection that is kept open between requests.
type keptConn struct {
	net.Conn
	in *bufio.Reader
	// rests is when the last answer was whole.
	rests time.Time
}

// keep opens a caller's connection to a gateway.
func keep(t *testing.T, f *gateway.Fleet) *keptConn {
	t.Helper()
	c, err := net.Dial("tcp", f.Front)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &keptConn{Conn: c, in: bufio.NewReader(c)}
}

// send writes bytes of a request. Whether they arrive, the answer tells.
func (k *keptConn) send(text string) { _, _ = io.WriteString(k, text) }

// answer reads an answer to its end; an error says that there is none.
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

// served sends a request and expects that it is served.
func (k *keptConn) served(t *testing.T, id string) {
	t.Helper()
	k.send(post("/unsafe/x", id, 0))
	if status, err := k.answer(); err != nil || status != http.StatusOK {
		t.Fatalf("request %s: status %d, %v", id, status, err)
	}
}
