package exchange

import (
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxHeadBytes bounds the status lines and headers of all responses that are read in one exchange,
	// informational ones included. Servers send a few hundred bytes. A parsed header takes some twenty
	// times its size in memory.
	maxHeadBytes = 64 << 10
	// headTimeout bounds the time from the first bytes of a head to its end. It allows for two
	// retransmissions of a lost packet.
	headTimeout = 750 * time.Millisecond
)

// headReader reads from a connection, and bounds the size and the time of response heads.
type headReader struct {
	netConn net.Conn
	// inHead is set while a head is read, and begun once a part of it has arrived.
	inHead, begun bool
	// left is how many more bytes of heads may be read in this exchange.
	left int
	// timed is set while headTimeout is running.
	timed bool
	// failure is the error that ended reading the head. The parser reports another one if it had a
	// part of a line.
	failure error
}

// beginExchange prepares for the heads of an exchange.
func (r *headReader) beginExchange() { r.left = maxHeadBytes }

// beginHead starts a head. begun is whether a part of it has been read.
func (r *headReader) beginHead(begun bool) { r.inHead, r.begun = true, begun }

// endHead ends a head that was parsed with the given error, and returns the error that explains it.
func (r *headReader) endHead(parseErr error) error {
	r.inHead = false
	switch {
	case parseErr != nil && r.failure != nil:
		return r.failure
	case parseErr != nil || !r.timed:
		return parseErr
	}
	r.timed = false
	return r.netConn.SetReadDeadline(time.Time{})
}

// Read implements io.Reader. The error wraps ErrTooLarge if the heads are too long.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.netConn.Read(p)
	}
	n, err := r.readHead(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.failure = err
	}
	return n, err
}

// readHead reads a part of a head.
func (r *headReader) readHead(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errors.Wrapf(ErrTooLarge, "head of more than %d bytes", maxHeadBytes)
	}
	if r.begun && !r.timed {
		if err := r.netConn.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
			return 0, err
		}
		r.timed = true
	}
	n, err := r.netConn.Read(p[:min(len(p), r.left)])
	r.begun = r.begun || n > 0
	r.left -= n
	return n, err
}
