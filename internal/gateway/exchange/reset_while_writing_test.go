package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/dial/dialtest"
)

// scriptedConn is a connection whose write returns writeErr, either before the end of the response is read
// or only when the write is stopped. The host reports an error of a connection once; here it is the write
// that gets it.
type scriptedConn struct {
	net.Conn
	response   io.Reader
	writeErr   error
	writeFirst bool
	// writeBegun is closed when the write has begun, writeEnded when it has returned, stopped when it has been
	// stopped or the connection closed.
	writeBegun, writeEnded, stopped chan struct{}
	stopOnce                        sync.Once
}

func newScriptedConn(response string, writeErr error, writeFirst bool) *scriptedConn {
	head, rest := response[:20], response[20:]
	// The pieces arrive separately, so that the end is read after the write has begun.
	return &scriptedConn{response: io.MultiReader(strings.NewReader(head), strings.NewReader(rest)), writeErr: writeErr, writeFirst: writeFirst, writeBegun: make(chan struct{}), writeEnded: make(chan struct{}), stopped: make(chan struct{})}
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	close(c.writeBegun)
	defer close(c.writeEnded)
	if !c.writeFirst {
		<-c.stopped
	}
	if c.writeErr != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: c.writeErr}
	}
	return len(p), nil
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	// A write that hasn't begun can't get an error.
	<-c.writeBegun
	if c.writeFirst {
		<-c.writeEnded
	}
	return c.response.Read(p)
}

func (c *scriptedConn) stop() { c.stopOnce.Do(func() { close(c.stopped) }) }

func (c *scriptedConn) SetWriteDeadline(time.Time) error { c.stop(); return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) Close() error                     { c.stop(); return nil }

// Guards against a response cut by a reset that is forwarded as complete, because the reset was reported to
// the write of the request. Complete early responses must not be lost, whatever becomes of the request.
func TestResetReportedToWrite(t *testing.T) {
	const body = "early"
	framings := map[string]string{
		"none":     "\r\n" + body,
		"length":   fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":   fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"HTTP/1.0": "\r\n" + body,
	}
	writes := map[string]struct {
		err   error
		first bool
		// wantErr is the error of a response that ends with its connection; nil if it is complete.
		wantErr error
	}{
		"written":                       {nil, true, nil},
		"written as the end is read":    {nil, false, nil},
		"in progress":                   {os.ErrDeadlineExceeded, false, nil},
		"closed, then reset":            {os.NewSyscallError("write", syscall.EPIPE), true, nil},
		"closed, reset as end is read":  {os.NewSyscallError("write", syscall.EPIPE), false, nil},
		"reset before the end is read":  {os.NewSyscallError("write", syscall.ECONNRESET), true, ErrIncomplete},
		"reset as the end is read":      {os.NewSyscallError("write", syscall.ECONNRESET), false, ErrIncomplete},
		"unacknowledged before the end": {os.NewSyscallError("write", syscall.ETIMEDOUT), true, ErrTimeout},
		"unacknowledged at the end":     {os.NewSyscallError("write", syscall.ETIMEDOUT), false, ErrTimeout},
		"unreachable before the end":    {os.NewSyscallError("write", syscall.EHOSTUNREACH), true, ErrIncomplete},
	}
	for framing, rest := range framings {
		for name, write := range writes {
			for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
				t.Run(fmt.Sprintf("%s/%s/%d", framing, name, status), func(t *testing.T) {
					version := "HTTP/1.1"
					if framing == "HTTP/1.0" {
						version = framing
					}
					response, err := doScripted(t, newScriptedConn(fmt.Sprintf("%s %d Text\r\n%s", version, status, rest), write.err, write.first))
					if err != nil {
						t.Fatal(err)
					}
					want := write.wantErr
					if !response.EndsWithConnection {
						want = nil
					}
					got, err := io.ReadAll(response)
					if reason, early := response.EndedEarly(); early != (response.EndsWithConnection && write.err != nil) || !errors.Is(reason, want) {
						t.Errorf("ended early: %v, %v", early, reason)
					}
					if string(got) != body || !errors.Is(err, want) {
						t.Errorf("body %q, %v; want error %v", got, err, want)
					}
				})
			}
		}
	}
}

// doScripted sends a large request on a connection and returns the response.
func doScripted(t *testing.T, c net.Conn) (*Response, error) {
	t.Helper()
	pool, instance := NewPool(), ServerInstance{Addr: "server"}
	pool.release(newConn(c, instance))
	return pool.Do(t.Context(), instance, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 2*maxSyncWrite), MaxIdle: time.Hour, Matches: anyHeader})
}

// Guards against the same on the host's own connections, where it is left to chance which goroutine a
// reset is reported to.
func TestResetResponseIsIncomplete(t *testing.T) {
	for i := range 20 {
		addr, _ := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		if text, err := sendLarge(t, addr); !errors.Is(err, ErrIncomplete) {
			t.Fatalf("request %d: %q, %v; want ErrIncomplete", i, text, err)
		}
	}
}

// Guards against an early rejection that is lost because its server doesn't read the rest of the request.
func TestEarlyResponseIsComplete(t *testing.T) {
	ends := map[string]func(*net.TCPConn, io.Reader){
		"reads on": func(c *net.TCPConn, rest io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		},
		"closes when it has read": func(_ *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) },
		"reads nothing more": func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		},
		"is reset after the end": func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(time.Millisecond)
			_ = c.SetLinger(0)
		},
	}
	for _, head := range []string{"HTTP/1.1 413 Text\r\n\r\n", "HTTP/1.1 413 Text\r\nContent-Length: 8\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"} {
		for name, end := range ends {
			t.Run(fmt.Sprintf("%q %s", head, name), func(t *testing.T) {
				t.Parallel()
				for range 2 {
					addr, _ := newScriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
						req, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.WriteString(c, head+"too long")
						end(c.(*net.TCPConn), req.Body)
					})
					if text, err := sendLarge(t, addr); err != nil || text != "too long" {
						t.Fatalf("%q, %v", text, err)
					}
				}
			})
		}
	}
}

// sendLarge sends a request of dialtest.UnreadBody bytes and returns the body of the response.
func sendLarge(t *testing.T, addr string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	response, _, err := doUntilSent(ctx, NewPool(), addr, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, dialtest.UnreadBody), Matches: anyHeader})
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response)
	return string(text), err
}

// Guards against a head cut by a reset that is taken for a whole one, because the reset was reported to the
// write of the request.
func TestResetInHeadReportedToWrite(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n"
	for _, writeFirst := range []bool{true, false} {
		for cut := 20; cut < len(head); cut++ {
			c := newScriptedConn(head[:cut], os.NewSyscallError("write", syscall.ECONNRESET), writeFirst)
			if _, err := doScripted(t, c); !errors.Is(err, ErrIncomplete) {
				t.Errorf("cut after %q: %v, want ErrIncomplete", head[:cut], err)
			}
		}
	}
}
