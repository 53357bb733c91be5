package engine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/dial/dialtest"
)

// maxBrokenWait is how long it may take until a malformed response is noticed whose server keeps the
// connection open.
const maxBrokenWait = time.Second

// Guards against a response with a status that HTTP doesn't have that counts as a response of the service, a
// run that was rejected, or an order that was accepted.
func TestInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			url := "http://" + dialtest.ServeEarly(t, func(c *net.TCPConn, _ *http.Request) {
				const inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(inner), inner)
				_, _ = io.Copy(io.Discard, c)
			})
			client := NewClient(url)
			calls := map[string]func() error{
				"service": func() error {
					_, err := NewServiceClient(url).Do(t.Context(), ServiceRequest{ID: "r", Method: http.MethodPost, Path: "/"})
					return err
				},
				"run": func() error {
					_, err := client.Start(t.Context(), Run{ID: "r", Body: []byte("{}")})
					return err
				},
				"cancellation": func() error { return client.Cancel(t.Context(), "r") },
				"load":         func() error { _, err := client.Load(t.Context()); return err },
				"order":        func() error { return client.SendOrder(t.Context(), Order{}) },
			}
			for name, call := range calls {
				began := time.Now()
				err := call()
				if took := time.Since(began); err == nil || errors.As(err, new(*RejectedError)) || took > maxBrokenWait {
					t.Errorf("%s: error %v after %v; want one that leaves open whether it ran, within %v", name, err, took, maxBrokenWait)
				} else if !strings.Contains(err.Error(), "status") {
					t.Errorf("%s: error %v, want the status", name, err)
				}
			}
		})
	}
}
