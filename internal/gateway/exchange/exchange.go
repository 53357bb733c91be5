// Package exchange is an HTTP/1.1 client for backend servers that sends one request at a time per
// connection. Unlike the client of net/http, it never retries a request by itself, reports whether
// anything was sent, skips responses to other requests, and never reuses a connection that
// delivered extra data. Start reading at Pool.Do.
package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/dial"
	"github.com/applepier/applepier/internal/httpstatus"
)

const (
	// maxSyncWrite is the size in bytes up to which a request is written before its response is
	// read: it fits any socket buffer. A larger request is written concurrently, since a backend
	// server may respond before it has read all of it, and then stop reading.
	maxSyncWrite = 8 << 10
	// maxMismatchedResponses is how many responses to other requests are skipped before the
	// exchange fails.
	maxMismatchedResponses = 3
	// maxSkippedBody bounds the bodies of responses to other requests that are read in an exchange, in
	// bytes.
	maxSkippedBody = 256 << 10
	// maxInformationalResponses is how many informational (1xx) responses are skipped. A backend
	// server may send one now and then while it works on a request.
	maxInformationalResponses = 1000
)

// Response is a backend server's response. The caller must read its body to the end or call Abort.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 if unknown, 0 for HEAD.
	Length int64
	// EndsWithConnection is set if the body has neither a length nor chunks. Its end then looks the
	// same whether the backend server has sent all of it or has ended.
	EndsWithConnection bool

	body       io.Reader
	exchange   *exchange
	incomplete bool
	// readErr is the error that ended reading the body; nil before.
	readErr error
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool *Pool
	conn *conn
	ctx  context.Context
	// stopCancel stops the closing of the connection when ctx ends. It returns false if the
	// connection is already being closed.
	stopCancel func() bool
	// writer writes a large request; nil if the request was written before the response is read.
	writer *requestWriter
	// keepConn is set while the connection may be reused after this exchange.
	keepConn bool
	// ended is set once the connection has been closed or returned to the pool.
	ended bool
}

// Do sends a request and reads the response header. If ctx ends, also while the body is being read,
// the connection is closed and the exchange fails. Errors wrap one of ErrNotSent, ErrWithheld,
// ErrIncomplete, ErrTooLarge, ErrTimeout and ErrCancelled.
func (p *Pool) Do(ctx context.Context, instance ServerInstance, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, instance, r.MaxIdle)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		// Nobody waits for the response any more, so the request isn't sent.
		p.release(c)
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if r.MaySend != nil && !r.MaySend() {
		p.release(c)
		return nil, ErrWithheld
	}
	e := &exchange{pool: p, conn: c, ctx: ctx, keepConn: true}
	e.stopCancel = context.AfterFunc(ctx, c.close)
	if err := e.write(r.encode()); err != nil {
		e.end(false)
		return nil, e.classify(err)
	}
	response, err := e.readHead(r)
	if err != nil {
		e.end(false)
		return nil, e.classify(err)
	}
	return response, nil
}

// write sends the request. A request larger than maxSyncWrite may still be in transmission when write
// returns. The error wraps ErrNotSent if no byte was written for another reason than the end of ctx or
// a timeout.
func (e *exchange) write(data []byte) error {
	if len(data) > maxSyncWrite {
		e.writer = startRequestWriter(e.conn.netConn, data)
		return nil
	}
	n, err := e.conn.netConn.Write(data)
	if err != nil && n == 0 && e.ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrapf(ErrNotSent, "write: %v", err)
	}
	return err
}

// readHead reads the header of the response that belongs to the request. It skips responses to other
// requests, at most maxMismatchedResponses.
func (e *exchange) readHead(r *Request) (*Response, error) {
	e.conn.heads.beginExchange()
	skippable := int64(maxSkippedBody)
	for range maxMismatchedResponses + 1 {
		httpResp, err := e.readFinalHead(r.Method)
		if err != nil {
			return nil, err
		}
		if r.OnHeader != nil {
			r.OnHeader(httpResp.StatusCode, httpResp.Header)
		}
		if r.Matches(httpResp.Header) {
			return e.newResponse(httpResp), nil
		}
		// A connection that delivered a response to another request is not reused.
		e.keepConn = false
		if httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0 {
			return nil, errors.Wrap(ErrIncomplete, "response to another request without a body length")
		}
		skipped, err := io.CopyN(io.Discard, httpResp.Body, skippable+1)
		switch {
		case err == nil:
			return nil, errors.Wrapf(ErrTooLarge, "responses to other requests of more than %d bytes", maxSkippedBody)
		case !errors.Is(err, io.EOF):
			return nil, err
		}
		skippable -= skipped
	}
	return nil, errors.Wrap(ErrIncomplete, "too many responses to other requests")
}

// readFinalHead reads the header of the next response that isn't informational. A response with a status
// that HTTP doesn't have is malformed: what follows its header may be its body or another response.
func (e *exchange) readFinalHead(method string) (*http.Response, error) {
	for range maxInformationalResponses + 1 {
		httpResp, err := e.readOneHead(method)
		switch {
		case err != nil:
			return nil, err
		case httpstatus.IsFinal(httpResp.StatusCode):
			return httpResp, nil
		case !httpstatus.IsInformational(httpResp.StatusCode):
			return nil, errors.Wrapf(ErrIncomplete, "status %q", httpResp.Status)
		}
	}
	return nil, errors.Wrap(ErrIncomplete, "too many informational responses")
}

// readOneHead reads the header of the next response.
func (e *exchange) readOneHead(method string) (*http.Response, error) {
	e.conn.heads.beginHead(e.conn.reader.Buffered() > 0)
	httpResp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: method})
	return httpResp, e.conn.heads.endHead(err)
}

// newResponse returns the Response for a received header, and records whether and how long the
// connection may be reused.
func (e *exchange) newResponse(httpResp *http.Response) *Response {
	e.keepConn = e.keepConn && !httpResp.Close && httpResp.ProtoAtLeast(1, 1) && !announcesMissingBody(httpResp)
	if e.requestUnread() {
		e.extendUserTimeout()
	}
	e.conn.keepAlive = keepAliveTimeout(httpResp.Header)
	length := httpResp.ContentLength
	if httpResp.Request.Method == http.MethodHead {
		// The Content-Length of a HEAD response is that of the GET response.
		length = 0
	}
	endsWithConnection := length < 0 && len(httpResp.TransferEncoding) == 0
	return &Response{Status: httpResp.StatusCode, Header: httpResp.Header, Length: length, EndsWithConnection: endsWithConnection, body: httpResp.Body, exchange: e}
}

// announcesMissingBody reports whether the header of a response that has no body because of its status says
// that it has one. A server that sends it nevertheless may do so at any time.
func announcesMissingBody(httpResp *http.Response) bool {
	if httpResp.StatusCode != http.StatusNoContent && httpResp.StatusCode != http.StatusNotModified {
		return false
	}
	length := httpResp.Header.Get("Content-Length")
	return length != "" && length != "0" || len(httpResp.TransferEncoding) > 0
}

// requestUnread reports whether a part of a large request has not arrived at the backend server, which may
// read it later.
func (e *exchange) requestUnread() bool {
	if e.writer == nil {
		return false
	}
	if !e.writer.written() {
		return true
	}
	// Where the host can't tell, what has been written counts as read.
	unacknowledged, err := dial.Unacknowledged(e.conn.socket)
	return err == nil && unacknowledged > 0
}

// extendUserTimeout lets a backend server that has begun to respond leave the rest of the request unread for as
// long as the exchange may take, instead of maxUnacknowledged.
func (e *exchange) extendUserTimeout() {
	deadline, ok := e.ctx.Deadline()
	if !ok {
		return
	}
	// If this fails, the connection is closed or stays as it is.
	_ = dial.SetUserTimeout(e.conn.socket, max(time.Until(deadline), maxUnacknowledged))
	// Another exchange needs the shorter timeout.
	e.keepConn = false
}

// Read reads the body. It returns io.EOF after the complete body; any other error wraps one of this
// package's errors, ErrCancelled after Abort. Once reading has ended, it returns the same error again.
func (r *Response) Read(p []byte) (int, error) {
	switch {
	case r.readErr != nil:
		return 0, r.readErr
	case r.exchange.ended:
		return 0, errors.Wrap(ErrCancelled, "aborted")
	}
	n, err := r.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		r.exchange.end(r.exchange.keepConn)
		r.readErr = io.EOF
	default:
		r.exchange.end(false)
		r.readErr = r.exchange.classify(err)
		r.incomplete = errors.Is(r.readErr, ErrIncomplete)
	}
	return n, r.readErr
}

// Incomplete reports whether reading the body ended in ErrIncomplete.
func (r *Response) Incomplete() bool { return r.incomplete }

// EndedEarly reports whether the connection ended, in the body of a response that ends with it, before the
// request was written completely. err is the reason if the body counts as incomplete; nil otherwise.
func (r *Response) EndedEarly() (err error, early bool) {
	switch {
	case !r.EndsWithConnection, r.readErr == nil, errors.Is(r.readErr, ErrCancelled), r.exchange.requestWritten():
		return nil, false
	case errors.Is(r.readErr, io.EOF):
		return nil, true
	default:
		return r.readErr, true
	}
}

// Abort ends the exchange by closing its connection, so that the backend server stops working on the
// request. After the complete body was read it does nothing.
func (r *Response) Abort() { r.exchange.end(false) }

// end ends the exchange. It returns the connection to the pool if the exchange is complete and no data
// is left unread or unwritten; otherwise it closes the connection.
func (e *exchange) end(complete bool) {
	if e.ended {
		return
	}
	e.ended = true
	// If the context has ended, its AfterFunc closes the connection.
	stopped := e.stopCancel()
	if !complete || !stopped || e.conn.reader.Buffered() > 0 || !e.requestWritten() {
		e.conn.close()
		if e.writer != nil {
			// A write still in progress fails when the connection is closed.
			e.writer.wait()
		}
		return
	}
	if err := e.conn.netConn.SetDeadline(time.Time{}); err != nil {
		e.conn.close()
		return
	}
	e.pool.release(e.conn)
}

// requestWritten reports whether the complete request was written before the response ended. If it
// wasn't, the backend server would read the next request on the connection as the rest of this one.
func (e *exchange) requestWritten() bool { return e.writer == nil || e.writer.written() }

// classify wraps an error of the connection in one of this package's errors. Errors that already wrap
// ErrNotSent, ErrIncomplete or ErrTooLarge are returned unchanged.
func (e *exchange) classify(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrIncomplete), errors.Is(err, ErrTooLarge):
		return err
	case e.ctx.Err() != nil:
		return errors.Wrap(ErrCancelled, e.ctx.Err().Error())
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return errors.Wrap(ErrTimeout, err.Error())
	default:
		return errors.Wrap(ErrIncomplete, err.Error())
	}
}

// keepAliveTimeout returns how long an idle connection may be reused, from the Keep-Alive header
// (RFC 2068, 19.7.1.1) less keepAliveMargin. Without a valid timeout in the header it is
// defaultKeepAlive.
func keepAliveTimeout(h http.Header) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return defaultKeepAlive
}
