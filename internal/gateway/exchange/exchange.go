// Package exchange sends requests to backend servers over HTTP/1.1 and reads
// their answers, one at a time on a connection. Unlike net/http's client it
// never sends a request again by itself, says whether anything was sent,
// passes over answers that belong to other requests, and never uses a
// connection again on which anything surplus came. Start reading at Pool.Do.
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
	"github.com/sourcegraph/conc"
)

const (
	// maxSyncWrite is the size in bytes up to which a request is written
	// before its answer is read: it fits any socket's buffer. A larger one is
	// written beside, since a backend server may answer before it has read
	// all and then read no further.
	maxSyncWrite = 8 << 10
	// maxMismatchedResponses bounds how many answers of other requests are passed
	// over.
	maxMismatchedResponses = 3
)

// Answer is a backend server's answer. Its body has to be read to the end, or
// Abandon called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes; -1 when it isn't known.
	Length     int64
	body       io.Reader
	exchange   *exchange
	incomplete bool
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool       *Pool
	conn       *conn
	ctx        context.Context
	stopCancel func() bool
	// writeDone tells how the writing of a large request ended; nil if the
	// request was writeDone before the answer was read.
	writeDone chan error
	writer    conc.WaitGroup
	// keepConn says that the connection may carry another exchange after this.
	keepConn bool
	ended    bool
}

// Do sends a request and reads the answer's head. It ends early when ctx does.
// The errors are this package's.
func (p *Pool) Do(ctx context.Context, peer Peer, r *Request) (*Answer, error) {
	c, err := p.acquire(ctx, peer, r.Young)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		// Nobody waits for it any more: a server needn't begin with it.
		p.release(c)
		return nil, errors.Wrap(ErrNotSent, err.Error())
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

// write sends the request; a large one goes on being sent after it returns.
func (e *exchange) write(data []byte) error {
	if len(data) > maxSyncWrite {
		e.writeDone = make(chan error, 1)
		e.writer.Go(func() {
			_, err := e.conn.netConn.Write(data)
			e.writeDone <- err
		})
		return nil
	}
	n, err := e.conn.netConn.Write(data)
	if err != nil && n == 0 && e.ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrapf(ErrNotSent, "write: %v", err)
	}
	return err
}

// readHead reads the head of the answer that is the request's own.
func (e *exchange) readHead(r *Request) (*Answer, error) {
	for range maxMismatchedResponses + 1 {
		resp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine(resp.Header) {
			return e.newResponse(resp), nil
		}
		// Whatever else is wrong here, this connection is not to be trusted.
		e.keepConn = false
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errors.Wrap(ErrBroken, "answer to another request, without an end")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.Wrap(ErrBroken, "answers to other requests only")
}

func (e *exchange) newResponse(resp *http.Response) *Answer {
	e.keepConn = e.keepConn && !resp.Close && resp.ProtoAtLeast(1, 1)
	e.conn.keepAlive = keepAliveTimeout(resp.Header)
	length := resp.ContentLength
	if resp.Request.Method == http.MethodHead {
		// Its header tells the length that the body of another method would have.
		length = 0
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Length: length, body: resp.Body, exchange: e}
}

// Read reads the body. io.EOF comes only after the whole body; any other error
// is this package's.
func (a *Answer) Read(p []byte) (int, error) {
	if a.exchange.ended {
		return 0, io.EOF
	}
	n, err := a.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		a.exchange.end(a.exchange.keepConn)
		return n, io.EOF
	default:
		a.exchange.end(false)
		err = a.exchange.classify(err)
		a.incomplete = errors.Is(err, ErrBroken)
		return n, err
	}
}

// Broken reports whether reading the body ended in ErrBroken.
func (a *Answer) Broken() bool { return a.incomplete }

// Abandon ends the exchange by closing its connection, which tells the backend
// server to stop. After the whole body was read it does nothing.
func (a *Answer) Abandon() { a.exchange.end(false) }

// end gives the connection back or closes it.
func (e *exchange) end(complete bool) {
	if e.ended {
		return
	}
	e.ended = true
	// If the context has ended, its function closes the connection.
	stopped := e.stopCancel()
	if !complete || !stopped || e.conn.reader.Buffered() > 0 || !e.requestWritten() {
		e.conn.close()
		// A writer that is still at it ends with the connection.
		e.writer.Wait()
		return
	}
	if err := e.conn.netConn.SetDeadline(time.Time{}); err != nil {
		e.conn.close()
		return
	}
	e.pool.release(e.conn)
}

// requestWritten reports whether all of the request was written before the
// answer ended. If not, the backend server would take what follows for its
// rest.
func (e *exchange) requestWritten() bool {
	if e.writeDone == nil {
		return true
	}
	select {
	case err := <-e.writeDone:
		return err == nil
	default:
		return false
	}
}

// classify turns an error from below into this package's.
func (e *exchange) classify(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrBroken):
		return err
	case e.ctx.Err() != nil:
		return errors.Wrap(ErrCancelled, e.ctx.Err().Error())
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return errors.Wrap(ErrTimeout, err.Error())
	default:
		return errors.Wrap(ErrBroken, err.Error())
	}
}

// keepAliveTimeout reads how long a backend server keeps an idle connection open from
// its Keep-Alive header (RFC 2068, 19.7.1.1).
func keepAliveTimeout(h http.Header) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return defaultKeepAlive
}
