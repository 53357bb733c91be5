package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// hopHeaders concern a single connection and are not passed on (RFC 9110,
// section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ServiceClient is a Service that is reached over HTTP.
type ServiceClient struct {
	baseURL   string
	transport http.RoundTripper
}

var _ Service = (*ServiceClient)(nil)

// NewService returns a client of the plain service at baseURL.
func NewService(baseURL string) *ServiceClient {
	return &ServiceClient{baseURL: baseURL, transport: newOneShotTransport()}
}

// Do implements Service. It follows no redirect. ctx governs the answer's
// body as well.
func (s *ServiceClient) Do(ctx context.Context, call ServiceCall) (*ServiceAnswer, error) {
	var trace connectTrace
	req, err := s.newRequest(trace.attach(ctx), call)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return nil, startError(&trace, err)
	}
	removeHopHeaders(resp.Header)
	return &ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

func (s *ServiceClient) newRequest(ctx context.Context, call ServiceCall) (*http.Request, error) {
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
	removeHopHeaders(req.Header)
	req.Header.Set(HeaderRequestID, call.ID)
	return req, nil
}

func removeHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
