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

// Limits of calls to stand-ins and to the administration API.
const (
	callLimit   = 10 * time.Second
	answerLimit = 64 << 20
)

// client makes a connection for each call: fleets come and go, and a kept
// connection to a restarted process would fail its first call.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callLimit}

// StatusError is an answer of an unexpected status.
type StatusError struct {
	Method string
	URL    string
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return e.Method + " " + e.URL + ": " + http.StatusText(e.Status) + ": " + e.Body
}

// call is one JSON request.
type call struct {
	method string
	url    string
	header http.Header
	// body is sent as JSON unless it is nil; answer is filled unless nil.
	body   any
	answer any
}

// do makes the call and returns the answer's headers.
func (c call) do(ctx context.Context) (http.Header, error) {
	request, err := c.request(ctx)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return nil, errors.Wrapf(err, "answer of %s", c.url)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return response.Header, &StatusError{Method: c.method, URL: c.url, Status: response.StatusCode, Body: string(body)}
	}
	if c.answer == nil {
		return response.Header, nil
	}
	if err := json.Unmarshal(body, c.answer); err != nil {
		return nil, errors.Wrapf(err, "answer of %s", c.url)
	}
	return response.Header, nil
}

func (c call) request(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if c.body != nil {
		encoded, err := json.Marshal(c.body)
		if err != nil {
			return nil, errors.Wrap(err, "encode body")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, c.url, body)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	if c.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
