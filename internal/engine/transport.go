package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/internal/dial"
)

const (
	// dialTimeout bounds connecting to a backend server on the same VM.
	dialTimeout = time.Second
	// controlTimeout bounds a call that is neither a run nor an order, so that an
	// unresponsive engine can't block the agent.
	controlTimeout = 2 * time.Second
	// maxErrorBodyBytes bounds the part of an error body that is kept.
	maxErrorBodyBytes = 64 << 10
)

// newNoReuseTransport returns a transport that opens a new connection for each
// request. net/http resends some requests when a reused connection turns out to
// be closed. It never does so on a new connection, so a run starts at most once.
func newNoReuseTransport() *http.Transport {
	t := newKeepAliveTransport()
	t.DisableKeepAlives = true
	return t
}

// newKeepAliveTransport returns a transport that reuses connections, for
// idempotent calls.
func newKeepAliveTransport() *http.Transport {
	return &http.Transport{
		DialContext:            dial.WithResetDetection((&net.Dialer{Timeout: dialTimeout}).DialContext),
		DisableCompression:     true,
		MaxResponseHeaderBytes: dial.MaxHeadBytes,
	}
}

// newHTTPClient returns a client whose calls take up to timeout; if that is 0, only
// their contexts bound them. It follows no redirects, because a redirect would send
// an order again.
func newHTTPClient(transport *http.Transport, timeout time.Duration) *http.Client {
	return &http.Client{
		Transport: transport,
		Timeout:   timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// connectTrace records whether a request obtained a connection.
type connectTrace struct {
	connected atomic.Bool
}

// attach returns a context that records into the trace.
func (c *connectTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.connected.Store(true) },
	})
}
