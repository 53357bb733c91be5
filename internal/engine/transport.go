package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds connecting to a backend server on the same VM.
	dialTimeout = time.Second
	// controlTimeout bounds a call that isn't a run, so that a frozen engine
	// can't hold its agent up.
	controlTimeout = 2 * time.Second
	// maxErrorBody is how much of a backend server's error body is kept.
	maxErrorBody = 64 << 10
)

// newOneShotTransport returns a transport that opens a connection for each
// request. net/http sends some requests again when a kept connection turns
// out to be closed; on a new connection it never does, so that a run starts
// at most once.
func newOneShotTransport() *http.Transport {
	t := newControlTransport()
	t.DisableKeepAlives = true
	return t
}

// newControlTransport returns a transport that keeps connections, for calls
// that are idempotent.
func newControlTransport() *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
	}
}

// newHTTPClient follows no redirect, which would send an order again.
func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: transport,
		Timeout:   controlTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// connectTrace notes whether a request got a connection.
type connectTrace struct {
	connected atomic.Bool
}

// attach returns a context under which the trace is kept.
func (c *connectTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.connected.Store(true) },
	})
}
