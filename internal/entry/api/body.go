package api

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/unread"
)

// errBodiesFull: the bytes of the bodies held have reached their bound.
var errBodiesFull = errors.New("bodies held have reached their bound")

// heldBody is a request's body and its share of the bytes held.
type heldBody struct {
	data  []byte
	held  *heldBytes
	bytes int64
}

// release gives the share back; the body may no longer be used.
func (b *heldBody) release() {
	b.held.release(b.bytes)
	b.data = nil
	b.bytes = 0
}

// grow takes a share of n bytes more.
func (b *heldBody) grow(n, bound int64) error {
	if !b.held.acquire(n, bound) {
		return errBodiesFull
	}
	b.bytes += n
	return nil
}

// readBody reads a bounded body from a caller that may be slow, into the bytes
// that may be held up to bound. It answers the caller and returns false when
// it can't; otherwise the caller of readBody releases the body.
func (a *API) readBody(w http.ResponseWriter, r *http.Request, bound int64) (*heldBody, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body := &heldBody{held: &a.held}
	err := body.read(w, r, bound)
	if err == nil {
		// A body that has come counts, also if that was at the last moment:
		// net/http took the deadline away with the body's end.
		_ = control.SetReadDeadline(time.Time{})
		return body, true
	}
	body.release()
	waited := !errors.Is(err, errBodiesFull) && !tooLarge(err)
	unread.Answer(w, r, waited, func() {
		if errors.Is(err, errBodiesFull) {
			a.turnAway(w, r, reasonBodiesFull)
		} else {
			writeError(w, bodyProblem(err))
		}
	})
	return nil, false
}

// read takes the share of a declared length before the first byte, so that no
// body is refused when half of it has been read; of an undeclared one as its
// bytes come.
func (b *heldBody) read(w http.ResponseWriter, r *http.Request, bound int64) error {
	if r.ContentLength > maxBody {
		return &http.MaxBytesError{Limit: maxBody}
	}
	if r.ContentLength < 0 {
		return b.readUndeclared(http.MaxBytesReader(w, r.Body, maxBody), bound)
	}
	if err := b.grow(r.ContentLength, bound); err != nil {
		return err
	}
	b.data = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b.data); err != nil {
		return errors.Wrap(err, "read body")
	}
	return nil
}

// bodyStep is in which steps an undeclared body takes its share.
const bodyStep = 64 << 10

func (b *heldBody) readUndeclared(from io.Reader, bound int64) error {
	for {
		if err := b.grow(bodyStep, bound); err != nil {
			return err
		}
		step, err := io.ReadAll(io.LimitReader(from, bodyStep))
		if err != nil {
			return errors.Wrap(err, "read body")
		}
		b.data = append(b.data, step...)
		if len(step) < bodyStep {
			return nil
		}
	}
}

func tooLarge(err error) bool {
	var limit *http.MaxBytesError
	return errors.As(err, &limit)
}

func bodyProblem(err error) problem {
	if tooLarge(err) {
		p := badRequest("body_too_large", "", "the body is larger than 4 MiB")
		p.status = http.StatusRequestEntityTooLarge
		return p
	}
	p := badRequest("body_not_read", "", "the body could not be read in time")
	p.status = http.StatusRequestTimeout
	return p
}
