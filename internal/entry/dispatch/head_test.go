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

// lateTransport has a response's head after a time, whatever has become of the
// request meanwhile, and keeps the request.
type lateTransport struct {
	after   time.Duration
	request *http.Request
	closed  bool
}

// RoundTrip implements http.RoundTripper.
func (l *lateTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	l.request = r
	time.Sleep(l.after)
	body := &lateBody{Reader: strings.NewReader("x"), transport: l}
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r}, nil
}

type lateBody struct {
	io.Reader
	transport *lateTransport
}

// Close implements io.Closer.
func (b *lateBody) Close() error {
	b.transport.closed = true
	return nil
}

func awaitLate(t *testing.T, after time.Duration) (*lateTransport, *http.Response, error) {
	t.Helper()
	d := newTestDispatcher(&fakeAgents{})
	late := &lateTransport{after: after}
	d.client = &http.Client{Transport: late}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://agent/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := d.awaitHead(req)
	return late, response, err
}

// A response was once handed on whose context the timer had ended, so that not
// a byte of it could be read.
func TestResponseThatIsHandedOnIsNotCutAnyMore(t *testing.T) {
	for _, after := range []time.Duration{0, wire.SilenceBound - 1, wire.SilenceBound, wire.SilenceBound + 1} {
		synctest.Test(t, func(t *testing.T) {
			late, response, err := awaitLate(t, after)
			time.Sleep(2 * wire.SilenceBound)
			synctest.Wait()
			if after < wire.SilenceBound && err != nil {
				t.Fatalf("head after %v: got %v", after, err)
			}
			if err != nil {
				if response != nil || !late.closed || !errors.Is(err, wire.ErrSilent) {
					t.Fatalf("head after %v: got %v with %v, body closed: %v", after, response, err, late.closed)
				}
				return
			}
			if cause := late.request.Context().Err(); cause != nil {
				t.Fatalf("head after %v: handed on, and its context has ended: %v", after, cause)
			}
		})
	}
}
