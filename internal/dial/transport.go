package dial

import (
	"net"
	"net/http"
)

// MaxHeadBytes bounds the heads of a response that a client of this program reads, informational ones
// included. net/http's own limit is 10 MB, more than a small VM has for all of its calls.
const MaxHeadBytes = 64 << 10

// NewTransport returns a transport that connects with a dialer. It decompresses nothing and bounds heads to
// MaxHeadBytes. Without keepAlive it opens a connection for each request, and so sends each at most once:
// net/http may resend a request if a reused connection turns out to be closed.
func NewTransport(dialer net.Dialer, keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}
