package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/httpstatus"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ServiceClient implements Service over HTTP.
type ServiceClient struct {
	baseURL   string
	transport http.RoundTripper
}

var _ Service = (*ServiceClient)(nil)

// NewServiceClient returns a client for the plain service at baseURL.
func NewServiceClient(baseURL string) *ServiceClient {
	return &ServiceClient{baseURL: baseURL, transport: newNoReuseTransport()}
}

// Do implements Service. It follows no redirects. Cancelling ctx also aborts
// reading the response body.
func (s *ServiceClient) Do(ctx context.Context, call ServiceRequest) (*ServiceResponse, error) {
	var trace connectTrace
	req, err := s.newRequest(trace.attach(ctx), call)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return nil, startError(&trace, err)
	}
	if !httpstatus.IsFinal(resp.StatusCode) {
		return nil, statusError(resp)
	}
	removeHopByHopHeaders(resp.Header)
	return &ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

func (s *ServiceClient) newRequest(ctx context.Context, call ServiceRequest) (*http.Request, error) {
	var body io.Reader
	if len(call.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(call.Body))
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, s.baseURL+call.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	removeHopByHopHeaders(req.Header)
	req.Header.Set(HeaderRequestID, call.ID)
	return req, nil
}

// removeHopByHopHeaders removes the hop-by-hop headers and those that the
// Connection header names.
func removeHopByHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
