package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/httpstatus"
)

// Headers of a run.
const (
	// HeaderRequestID carries the run's ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the run's priority; lower numbers run first.
	HeaderPriority = "X-Priority"
	// HeaderResumeFrom carries the number of tokens to skip in the response.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderSoftwareVersion is a response header with the engine's software version.
	HeaderSoftwareVersion = "X-Software-Version"
)

// Paths of an engine's API.
const (
	pathCompletions = "/v1/chat/completions"
	pathRuns        = "/runs"
	pathLoad        = "/load"
	pathOrders      = "/orders"
)

// Client implements Engine over HTTP.
type Client struct {
	baseURL       string
	runTransport  http.RoundTripper
	controlClient *http.Client
	orderClient   *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a Client for the engine at baseURL, for example
// "http://127.0.0.1:9000".
func NewClient(baseURL string) *Client {
	noReuse := newNoReuseTransport()
	return &Client{
		baseURL:       baseURL,
		runTransport:  noReuse,
		controlClient: newHTTPClient(newKeepAliveTransport(), controlTimeout),
		orderClient:   newHTTPClient(noReuse, 0),
	}
}

// Start implements Engine. Cancelling ctx ends the stream as well.
func (c *Client) Start(ctx context.Context, run Run) (Stream, error) {
	body, err := streamingBody(run.Body)
	if err != nil {
		return nil, err
	}
	var trace connectTrace
	req, err := newRunRequest(trace.attach(ctx), c.baseURL+pathCompletions, run, body)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	resp, err := c.runTransport.RoundTrip(req)
	if err != nil {
		return nil, startError(&trace, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp)
	}
	version := resp.Header.Get(HeaderSoftwareVersion)
	if run.ResumeFrom > 0 && version != run.SoftwareVersion {
		// Closing the connection cancels the run.
		_ = resp.Body.Close()
		return nil, errors.Wrapf(ErrOtherVersion, "%q, the stream began at %q", version, run.SoftwareVersion)
	}
	return newSSEStream(resp.Body, version), nil
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	path := pathRuns + "/" + url.PathEscape(id) + "/cancel"
	return c.call(ctx, c.controlClient, http.MethodPost, path, nil, nil)
}

// RunIDs implements Engine.
func (c *Client) RunIDs(ctx context.Context) ([]string, error) {
	var list RunList
	if err := c.call(ctx, c.controlClient, http.MethodGet, pathRuns, nil, &list); err != nil {
		return nil, err
	}
	return list.Runs, nil
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, c.controlClient, http.MethodGet, pathLoad, nil, &load)
	return load, err
}

// SendOrder implements Engine.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	return c.call(ctx, c.orderClient, http.MethodPost, pathOrders, body, nil)
}

// call makes one control call and decodes the response into result unless it is
// nil. It returns ErrStaleFencingToken for status 409, and otherwise the errors of
// startError and statusError.
func (c *Client) call(ctx context.Context, client *http.Client, method, path string, body []byte, result any) error {
	var trace connectTrace
	req, err := http.NewRequestWithContext(trace.attach(ctx), method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	resp, err := client.Do(req)
	if err != nil {
		return startError(&trace, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusConflict {
		return ErrStaleFencingToken
	}
	if !httpstatus.IsSuccess(resp.StatusCode) {
		return statusError(resp)
	}
	if result == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil {
		return errors.Wrap(err, "decode engine response")
	}
	return nil
}

// newRunRequest returns the HTTP request of a run. Its body can't be rewound, so
// that net/http can't send it twice.
func newRunRequest(ctx context.Context, target string, run Run, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, run.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(run.Priority))
	if run.ResumeFrom > 0 {
		req.Header.Set(HeaderResumeFrom, strconv.Itoa(run.ResumeFrom))
	}
	return req, nil
}
