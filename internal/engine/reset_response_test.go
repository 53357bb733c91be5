package engine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/dial/dialtest"
)

// startEarlyService starts a service that begins a response before it has read the request, without a
// length unless head has one, and ends the connection with end. It returns the service's URL.
func startEarlyService(t *testing.T, head string, end func(*net.TCPConn, io.Reader)) string {
	t.Helper()
	return "http://" + dialtest.ServeEarly(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, head+"\r\nhalf")
		time.Sleep(5 * time.Millisecond)
		end(c, r.Body)
	})
}

// call sends a request that doesn't fit the host's buffers and returns the response's body.
func call(t *testing.T, url string) (string, error) {
	t.Helper()
	resp, err := NewServiceClient(url).Do(t.Context(), ServiceRequest{ID: "r.1", Method: http.MethodPost, Path: "/x", Body: make([]byte, dialtest.UnreadBody)})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a response cut by a reset that an agent passes on as complete, because the reset was
// reported to the write of the request.
func TestResetResponseIsAnError(t *testing.T) {
	url := startEarlyService(t, "HTTP/1.1 200 OK\r\n", func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) })
	complete := 0
	for range 20 {
		if body, err := call(t, url); err == nil {
			complete++
			t.Logf("%q looks complete", body)
		}
	}
	if complete > 0 {
		t.Errorf("%d of 20 responses that were reset look complete", complete)
	}
}

// Guards against an early response that is lost because its service doesn't read the rest of the request.
func TestEarlyResponseIsComplete(t *testing.T) {
	ends := map[string]func(*net.TCPConn, io.Reader){
		"closes when it has read": func(_ *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) },
		"reads on": func(c *net.TCPConn, rest io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		},
		"reads nothing more": func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		},
	}
	for _, head := range []string{"HTTP/1.1 413 Text\r\n", "HTTP/1.1 413 Text\r\nContent-Length: 4\r\n", "HTTP/1.1 200 OK\r\n"} {
		for name, end := range ends {
			t.Run(fmt.Sprintf("%q %s", head, name), func(t *testing.T) {
				url := startEarlyService(t, head, end)
				for range 3 {
					if body, err := call(t, url); err != nil || body != "half" {
						t.Errorf("%q, %v", body, err)
					}
				}
			})
		}
	}
}

// Guards against a part of a response that an agent passes on as complete, where the service's host resets the
// connection because it is closed with unread bytes of the request, or a short time after the part.
func TestPartOfEarlyResponseIsAnError(t *testing.T) {
	ends := map[string]func(*net.TCPConn){
		"closed unread":            func(c *net.TCPConn) { dialtest.AwaitUnread(t, c) },
		"reset":                    func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"reset after a short time": func(c *net.TCPConn) { time.Sleep(20 * time.Millisecond); _ = c.SetLinger(0) },
	}
	for name, end := range ends {
		for _, part := range []int{0, 4 << 10, 600 << 10} {
			t.Run(fmt.Sprintf("%s/%d bytes", name, part), func(t *testing.T) {
				t.Parallel()
				url := "http://" + dialtest.ServeEarly(t, func(c *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", part))
					end(c)
				})
				for range 8 {
					if body, err := call(t, url); err == nil {
						t.Errorf("%d bytes look complete", len(body))
					}
				}
			})
		}
	}
}
