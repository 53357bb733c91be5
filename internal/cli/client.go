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

// maxAnswerBytes is how much of an answer is read.
const maxAnswerBytes = 64 << 20

// client calls the administration API of one entry.
type client struct {
	base *url.URL
	key  string
	http *http.Client
}

func newClient(base *url.URL, key string) *client {
	return &client{base: base, key: key, http: &http.Client{}}
}

// call is one call of the administration API.
type call struct {
	method string
	path   string
	query  url.Values
	// version is the targets' version that a change builds on; nil for none.
	version *uint64
	// body is sent as JSON; nil for none.
	body any
	// answer is filled from the answer's JSON; nil to ignore it.
	answer any
}

// changes reports whether the call is to change something.
func (c call) changes() bool { return c.method != http.MethodGet }

// do makes the call; its errors are worded for the operator.
func (c *client) do(ctx context.Context, call call) error {
	request, err := c.request(ctx, call)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.transportError(call, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return c.transportError(call, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return c.refusal(call, response, body)
	}
	if call.answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, call.answer); err != nil {
		return c.strangeAnswer(err)
	}
	return nil
}

func (c *client) request(ctx context.Context, call call) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		encoded, err := json.Marshal(call.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	address := c.base.JoinPath(call.path)
	address.RawQuery = call.query.Encode()
	request, err := http.NewRequestWithContext(ctx, call.method, address.String(), body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if call.version != nil {
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(*call.version, 10)))
	}
	return request, nil
}
