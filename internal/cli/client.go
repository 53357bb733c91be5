package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

// client sends requests to the administration API of one entry.
type client struct {
	base *url.URL
	key  string
	http *http.Client
}

func newClient(base *url.URL, key string) *client {
	return &client{base: base, key: key, http: &http.Client{}}
}

// apiRequest describes a request to the administration API.
type apiRequest struct {
	method string
	path   string
	query  url.Values
	// version is the targets version that a change is based on, sent as
	// If-Match. Nil omits the header.
	version *uint64
	// body is sent as JSON. Nil sends no body.
	body any
	// response points to the value that the JSON response is decoded into. Nil
	// ignores the response body.
	response any
}

// isChange reports whether the request changes targets.
func (r apiRequest) isChange() bool { return r.method != http.MethodGet }

// do sends the request and decodes the response. Errors from sending the
// request and from the response are *program.Error values with a message and
// advice for the operator.
func (c *client) do(ctx context.Context, apiReq apiRequest) error {
	httpRequest, err := c.newHTTPRequest(ctx, apiReq)
	if err != nil {
		return err
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return c.transportError(apiReq, err)
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return c.transportError(apiReq, err)
	}
	if httpResponse.StatusCode >= http.StatusBadRequest {
		return c.responseError(apiReq, httpResponse, body)
	}
	if apiReq.response == nil {
		return nil
	}
	if err := json.Unmarshal(body, apiReq.response); err != nil {
		return c.unexpectedResponse(apiReq, err)
	}
	return nil
}

func (c *client) newHTTPRequest(ctx context.Context, apiReq apiRequest) (*http.Request, error) {
	var body io.Reader
	if apiReq.body != nil {
		encoded, err := json.Marshal(apiReq.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	address := c.base.JoinPath(apiReq.path)
	address.RawQuery = apiReq.query.Encode()
	httpRequest, err := http.NewRequestWithContext(ctx, apiReq.method, address.String(), body)
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+c.key)
	if apiReq.body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	if apiReq.version != nil {
		httpRequest.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(*apiReq.version, 10)))
	}
	return httpRequest, nil
}
