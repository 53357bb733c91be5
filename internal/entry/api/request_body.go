package api

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/unread"
)

// errBodiesFull: the bytes of the bodies held have reached their bound.
var errBodyBudget = errors.New("bodies held have reached their bound")

// heldBody is a request's body and its share of the bytes held.
type requestBody struct {
	data     []byte
	budget   *bodyBudget
	reserved int64
}

// release gives the share back; the body may no longer be used.
func (b *requestBody) release() {
	b.budget.release(b.reserved)
	b.data = nil
	b.reserved = 0
}

// grow takes a share of n bytes more.
func (b *requestBody) reserve(n, limit int64) error {
	if !b.budget.tryAcquire(n, limit) {
		return errBodyBudget
	}
	b.reserved += n
	return nil
}

// readBody reads a bounded body from a caller that may be slow, into the bytes
// that may be held up to bound. It answers the caller and returns false when
// it can't; otherwise the caller of readBody releases the body.
func (a *API) readBody(w http.ResponseWriter, r *http.Request, limit int64) (*requestBody, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body := &requestBody{budget: &a.bodyBudget}
	err := body.read(w, r, limit)
	if err == nil {
		// A body that has come counts, also if that was at the last moment:
		// net/http took the deadline away with the body's end.
		_ = control.SetReadDeadline(time.Time{})
		return body, true
	}
	body.release()
	timedOut := !errors.Is(err, errBodyBudget) && !isTooLarge(err)
	unread.Answer(w, r, timedOut, func() {
		if errors.Is(err, errBodyBudget) {
			a.refuseAtCapacity(w, r, reasonBodiesFull)
		} else {
			writeError(w, bodyReadError(err))
		}
	})
	return nil, false
}

// read takes the share of a declared length before the first byte, so that no
// body is refused when half of it has been read; of an undeclared one as its
// bytes come.
func (b *requestBody) read(w http.ResponseWriter, r *http.Request, limit int64) error {
	if r.ContentLength > maxBodyBytes {
		return &http.MaxBytesError{Limit: maxBodyBytes}
	}
	if r.ContentLength < 0 {
		return b.readUnknownLength(http.MaxBytesReader(w, r.Body, maxBodyBytes), limit)
	}
	if err := b.reserve(r.ContentLength, limit); err != nil {
		return err
	}
	b.data = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b.data); err != nil {
		return errors.Wrap(err, "read body")
	}
	return nil
}

// bodyStep is in which steps an undeclared body takes its share.
const bodyReadBytes = 64 << 10

func (b *requestBody) readUnknownLength(src io.Reader, limit int64) error {
	for {
		if err := b.reserve(bodyReadBytes, limit); err != nil {
			return err
		}
		part, err := io.ReadAll(io.LimitReader(src, bodyReadBytes))
		if err != nil {
			return errors.Wrap(err, "read body")
		}
		b.data = append(b.data, part...)
		if len(part) < bodyReadBytes {
			return nil
		}
	}
}

func isTooLarge(err error) bool {
	var maxBytesErr *http.MaxBytesError
	return errors.As(err, &maxBytesErr)
}

func bodyReadError(err error) apiError {
	if isTooLarge(err) {
		e := badRequestError("body_too_large", "", "the body is larger than 4 MiB")
		e.status = http.StatusRequestEntityTooLarge
		return e
	}
	e := badRequestError("body_not_read", "", "the body could not be read in time")
	e.status = http.StatusRequestTimeout
	return e
}
