package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Limits of requests to stand-ins and to the administration API.
const (
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 64 << 20 // bytes
)

// client opens a new connection for each request: the first request on a
// kept-alive connection to a restarted process would fail.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}

// StatusError reports an HTTP response with an unexpected status.
type StatusError struct {
	Method     string
	URL        string
	StatusCode int
	Body       string
}

func (e *StatusError) Error() string {
	return e.Method + " " + e.URL + ": " + http.StatusText(e.StatusCode) + ": " + e.Body
}

// call describes one JSON request.
type call struct {
	method string
	url    string
	header http.Header
	// body is sent as JSON, and the response body is decoded into response.
	// Both may be nil.
	body     any
	response any
}

// do sends the request and returns the response headers. A status of 300 or
// above is returned as a *StatusError.
func (c call) do(ctx context.Context) (http.Header, error) {
	httpRequest, err := c.request(ctx)
	if err != nil {
		return nil, err
	}
	httpResponse, err := client.Do(httpRequest)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read response of %s", c.url)
	}
	if httpResponse.StatusCode >= http.StatusMultipleChoices {
		return httpResponse.Header, &StatusError{Method: c.method, URL: c.url, StatusCode: httpResponse.StatusCode, Body: string(body)}
	}
	if c.response == nil {
		return httpResponse.Header, nil
	}
	if err := json.Unmarshal(body, c.response); err != nil {
		return nil, errors.Wrapf(err, "decode response of %s", c.url)
	}
	return httpResponse.Header, nil
}

func (c call) request(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if c.body != nil {
		encoded, err := json.Marshal(c.body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request body")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, c.url, body)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	if c.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
