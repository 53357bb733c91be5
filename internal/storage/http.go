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
)

const (
	// callTimeout bounds one call, so that a slow platform can't hold its
	// callers up for long. A healthy platform answers in milliseconds.
	callTimeout = 3 * time.Second
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 64 << 20
)

// Paths of the platform's HTTP protocol.
const (
	pathRow     = "/table/row"
	pathRows    = "/table/rows"
	pathCommit  = "/table/commit"
	pathObjects = "/objects/"
	pathVMs     = "/vms"
)

// HTTP speaks the platform's HTTP protocol.
type HTTP struct {
	baseURL string
	reads   *http.Client
	// writes opens a connection for each call: net/http may send a request
	// again on a kept connection that has been closed, and a write must be
	// sent at most once for its outcome to mean anything.
	writes *http.Client

	lastVMs readVMs
}

var (
	_ Table   = (*HTTP)(nil)
	_ Objects = (*HTTP)(nil)
	_ VMList  = (*HTTP)(nil)
)

// NewHTTP returns a client of the platform at baseURL, for example
// "http://127.0.0.1:9100".
func NewHTTP(baseURL string) *HTTP {
	dial := (&net.Dialer{Timeout: callTimeout}).DialContext
	return &HTTP{
		baseURL: baseURL,
		reads:   newHTTPClient(&http.Transport{DialContext: dial}),
		writes:  newHTTPClient(&http.Transport{DialContext: dial, DisableKeepAlives: true}),
	}
}

// newHTTPClient follows no redirect, which would send a write again.
func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: transport,
		Timeout:   callTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Get implements Table.
func (h *HTTP) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := h.readJSON(ctx, pathRow+"?key="+url.QueryEscape(key), &row)
	return row, err
}

// List implements Table.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := h.readJSON(ctx, pathRows+"?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}

// Commit implements Table.
func (h *HTTP) Commit(ctx context.Context, writes []Write) error {
	body, err := json.Marshal(Transaction{Writes: writes})
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return h.write(ctx, http.MethodPost, pathCommit, body)
}

// PutObject implements Objects.
func (h *HTTP) PutObject(ctx context.Context, key string, value []byte) error {
	return h.write(ctx, http.MethodPut, objectPath(key), value)
}

// GetObject implements Objects.
func (h *HTTP) GetObject(ctx context.Context, key string) ([]byte, error) {
	return h.read(ctx, objectPath(key))
}

func (h *HTTP) readJSON(ctx context.Context, path string, result any) error {
	body, err := h.read(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return errors.Wrap(ErrUnavailable, "answer is not JSON")
	}
	return nil
}

// read makes a call that changes nothing; every failure to learn the answer
// is ErrUnavailable.
func (h *HTTP) read(ctx context.Context, path string) ([]byte, error) {
	answer, err := h.readIf(ctx, path, "")
	return answer.body, err
}

// readAnswer is what a read was answered with.
type readAnswer struct {
	status int
	// etag is empty where the service sends none.
	etag string
	body []byte
}

// readIf is read on the condition that the answer has another ETag than etag;
// if not, the status is 304 and the body empty. An empty etag is no condition.
func (h *HTTP) readIf(ctx context.Context, path, etag string) (readAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.baseURL+path, nil)
	if err != nil {
		return readAnswer{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := h.reads.Do(req)
	if err != nil {
		return readAnswer{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	answer := readAnswer{status: resp.StatusCode, etag: resp.Header.Get("ETag")}
	if etag != "" && resp.StatusCode == http.StatusNotModified {
		return answer, nil
	}
	if err := readStatus(resp.StatusCode); err != nil {
		return readAnswer{}, err
	}
	answer.body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return readAnswer{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return answer, nil
}

// write makes a call that may take effect even though its answer is lost.
func (h *HTTP) write(ctx context.Context, method, path string, body []byte) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, h.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	resp, err := h.writes.Do(req)
	if err != nil && !connected.Load() {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	return writeStatus(resp.StatusCode)
}

func objectPath(key string) string {
	return (&url.URL{Path: pathObjects + key}).EscapedPath()
}
