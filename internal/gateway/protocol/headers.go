package protocol

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110, 7.6.1), and those that
// are written again with the message body, such as Content-Length.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEndHeaders returns a copy of the headers without the hop-by-hop headers and those named by
// Connection. The values aren't copied.
func EndToEndHeaders(h http.Header) http.Header {
	kept := make(http.Header, len(h)+4)
	for name, values := range h {
		kept[name] = values
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(kept, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(kept, name)
	}
	return kept
}
