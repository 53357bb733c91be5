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

// answerWithin is how long a caller waits for an answer at most.
const answerWithin = 10 * time.Second

// kept is a caller's connection that is kept open between requests.
type kept struct {
	net.Conn
	in *bufio.Reader
	// rests is when the last answer was whole.
	rests time.Time
}

// keep opens a caller's connection to a gateway.
func keep(t *testing.T, f *gateway.Fleet) *kept {
	t.Helper()
	c, err := net.Dial("tcp", f.Front)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &kept{Conn: c, in: bufio.NewReader(c)}
}

// head is the head of a request that may run once, without a body.
func head(id string) string {
	return fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n", id)
}

// send writes bytes of a request. Whether they arrive, the answer tells.
func (k *kept) send(text string) { _, _ = io.WriteString(k, text) }

// answer reads an answer to its end; an error says that there is none.
func (k *kept) answer() (status int, err error) {
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
func (k *kept) served(t *testing.T, id string) {
	t.Helper()
	k.send(head(id))
	if status, err := k.answer(); err != nil || status != http.StatusOK {
		t.Fatalf("request %s: status %d, %v", id, status, err)
	}
}
