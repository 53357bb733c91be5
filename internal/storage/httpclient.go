package storage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/dial"
)

const (
	// callTimeout limits one call, so that a slow platform doesn't block
	// callers for long. A healthy platform responds within milliseconds.
	callTimeout = 3 * time.Second
	// maxResponseBytes limits the size of a response body. A longer one is an
	// error: an object of which a part is missing would pass as the whole.
	maxResponseBytes = 64 << 20
)

// URL paths of the platform's HTTP API.
const (
	pathRow     = "/table/row"
	pathRows    = "/table/rows"
	pathCommit  = "/table/commit"
	pathObjects = "/objects/"
	pathVMs     = "/vms"
)

// HTTPClient is a client of the platform's HTTP API. It implements Table,
// ObjectStore and VMList. It is safe for concurrent use.
type HTTPClient struct {
	baseURL string
	reads   *http.Client
	// writes opens a new connection for each call, because net/http may
	// resend a request if a reused connection turns out to be closed. A write
	// must be sent only once: the response to a second copy doesn't show
	// whether the first was applied.
	writes *http.Client

	vmCache vmListCache
}

var (
	_ Table       = (*HTTPClient)(nil)
	_ ObjectStore = (*HTTPClient)(nil)
	_ VMList      = (*HTTPClient)(nil)
)

// NewHTTPClient returns a client of the platform at baseURL, for example
// "http://127.0.0.1:9100".
func NewHTTPClient(baseURL string) *HTTPClient {
	dialContext := (&net.Dialer{Timeout: callTimeout}).DialContext
	return &HTTPClient{
		baseURL: baseURL,
		reads:   newClient(&http.Transport{DialContext: dialContext, MaxResponseHeaderBytes: dial.MaxHeadBytes}),
		writes:  newClient(&http.Transport{DialContext: dialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: dial.MaxHeadBytes}),
	}
}

// newClient returns an http.Client that doesn't follow redirects, because that
// would resend a write.
func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: transport,
		Timeout:   callTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Get implements Table.
func (c *HTTPClient) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.readJSON(ctx, pathRow+"?key="+url.QueryEscape(key), &row)
	return row, err
}

// List implements Table.
func (c *HTTPClient) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.readJSON(ctx, pathRows+"?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}

// Commit implements Table.
func (c *HTTPClient) Commit(ctx context.Context, writes []Write) error {
	body, err := json.Marshal(Transaction{Writes: writes})
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return c.write(ctx, http.MethodPost, pathCommit, body)
}

// PutObject implements ObjectStore.
func (c *HTTPClient) PutObject(ctx context.Context, key string, value []byte) error {
	return c.write(ctx, http.MethodPut, objectPath(key), value)
}

// GetObject implements ObjectStore.
func (c *HTTPClient) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.read(ctx, objectPath(key))
}

func (c *HTTPClient) readJSON(ctx context.Context, path string, result any) error {
	body, err := c.read(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return errors.Wrap(ErrUnavailable, "response is not JSON")
	}
	return nil
}

// read sends a GET request and returns the response body. Its errors are
// ErrNotFound and, for every other failure, ErrUnavailable.
func (c *HTTPClient) read(ctx context.Context, path string) ([]byte, error) {
	resp, err := c.readIfChanged(ctx, path, "")
	return resp.body, err
}

// readResponse is the response to a read.
type readResponse struct {
	status int
	// etag is empty if the service sent none.
	etag string
	body []byte
}

// readIfChanged is like read, but if the resource still has the given ETag, it
// returns status 304 and no body. An empty etag makes the read unconditional.
func (c *HTTPClient) readIfChanged(ctx context.Context, path, etag string) (readResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return readResponse{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	httpResp, err := c.reads.Do(req)
	if err != nil {
		return readResponse{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = httpResp.Body.Close() }()
	result := readResponse{status: httpResp.StatusCode, etag: httpResp.Header.Get("ETag")}
	if etag != "" && httpResp.StatusCode == http.StatusNotModified {
		return result, nil
	}
	if err := readStatus(httpResp.StatusCode); err != nil {
		return readResponse{}, err
	}
	result.body, err = io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes+1))
	if err != nil {
		return readResponse{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if len(result.body) > maxResponseBytes {
		return readResponse{}, errors.Wrap(ErrUnavailable, "response is too long")
	}
	return result, nil
}

// write sends a request that may take effect even if its response is lost. It
// returns ErrUnavailable if no connection could be established, and
// ErrOutcomeUnknown if the call fails after that; the errors for response
// statuses are those of writeStatus.
func (c *HTTPClient) write(ctx context.Context, method, path string, body []byte) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	resp, err := c.writes.Do(req)
	if err != nil && !connected.Load() {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	return writeStatus(resp.StatusCode)
}

// objectPath returns the escaped URL path of the object with the given key.
func objectPath(key string) string {
	return (&url.URL{Path: pathObjects + key}).EscapedPath()
}
