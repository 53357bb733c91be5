package dispatch

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
)

// delayedTransport returns the response headers after a delay, even if the
// request was cancelled meanwhile, and keeps the request.
type delayedTransport struct {
	delay      time.Duration
	request    *http.Request
	bodyClosed bool
}

// RoundTrip implements http.RoundTripper.
func (t *delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.request = r
	time.Sleep(t.delay)
	body := &closeTrackingBody{Reader: strings.NewReader("x"), transport: t}
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r}, nil
}

type closeTrackingBody struct {
	io.Reader
	transport *delayedTransport
}

// Close implements io.Closer.
func (b *closeTrackingBody) Close() error {
	b.transport.bodyClosed = true
	return nil
}

func sendWithDelayedHeaders(t *testing.T, delay time.Duration) (*delayedTransport, *http.Response, error) {
	t.Helper()
	d := newTestDispatcher(&fakeAgents{})
	transport := &delayedTransport{delay: delay}
	d.client = &http.Client{Transport: transport}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://agent/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := d.doWithHeaderTimeout(req)
	return transport, response, err
}

// Guards against returning a response whose context the header timeout has
// already cancelled: no byte of its body could be read.
func TestReturnedResponseIsNotCancelledByHeaderTimeout(t *testing.T) {
	for _, delay := range []time.Duration{0, wire.HeartbeatTimeout - 1, wire.HeartbeatTimeout, wire.HeartbeatTimeout + 1} {
		synctest.Test(t, func(t *testing.T) {
			transport, response, err := sendWithDelayedHeaders(t, delay)
			time.Sleep(2 * wire.HeartbeatTimeout)
			synctest.Wait()
			if delay < wire.HeartbeatTimeout && err != nil {
				t.Fatalf("headers after %v: got %v", delay, err)
			}
			if err != nil {
				if response != nil || !transport.bodyClosed || !errors.Is(err, wire.ErrHeartbeatTimeout) {
					t.Fatalf("headers after %v: got %v with %v, body closed: %v", delay, response, err, transport.bodyClosed)
				}
				return
			}
			if cause := transport.request.Context().Err(); cause != nil {
				t.Fatalf("headers after %v: returned, but its context is cancelled: %v", delay, cause)
			}
		})
	}
}
