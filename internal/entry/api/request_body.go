package api

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/unread"
)

// errBodyBudgetExceeded is returned when a body does not fit into the memory limit for
// bodies.
var errBodyBudgetExceeded = errors.New("memory limit for request bodies reached")

// requestBody is a request body and the memory that is reserved for it in the budget.
type requestBody struct {
	data     []byte
	budget   *bodyBudget
	reserved int64
}

// release returns the reservation to the budget. The body must not be used afterwards.
func (b *requestBody) release() {
	b.budget.release(b.reserved)
	b.data = nil
	b.reserved = 0
}

// reserve reserves n more bytes. It returns errBodyBudgetExceeded if more than limit
// bytes would then be reserved for all bodies.
func (b *requestBody) reserve(n, limit int64) error {
	if !b.budget.tryAcquire(n, limit) {
		return errBodyBudgetExceeded
	}
	b.reserved += n
	return nil
}

// readBody reads a body of at most maxBodyBytes from a possibly slow caller. It fails if
// the bodies of all requests would then take more than limit bytes. On failure it writes
// the error response and returns false; otherwise the caller must release the body.
func (a *API) readBody(w http.ResponseWriter, r *http.Request, limit int64) (*requestBody, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body := &requestBody{budget: &a.bodyBudget}
	err := body.read(w, r, limit)
	if err == nil {
		// A body that was read completely is used even if its deadline has just passed:
		// net/http clears the read deadline at the end of the body.
		_ = control.SetReadDeadline(time.Time{})
		return body, true
	}
	body.release()
	readFailed := !errors.Is(err, errBodyBudgetExceeded) && !isTooLarge(err)
	unread.Respond(w, r, readFailed, func() {
		if errors.Is(err, errBodyBudgetExceeded) {
			a.refuseAtCapacity(w, r, reasonBodiesFull)
		} else {
			a.refuse(w, r, bodyReadError(err))
		}
	})
	return nil, false
}

// read reserves the memory of a body with a Content-Length before reading it, so that
// such a body isn't refused halfway. A body of unknown length is reserved as it arrives.
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

// bodyReadBytes is the size of the steps in which memory is reserved for a body of
// unknown length.
const bodyReadBytes = 64 << 10

func (b *requestBody) readUnknownLength(src io.Reader, limit int64) error {
	for {
		if err := b.reserve(bodyReadBytes, limit); err != nil {
			return err
		}
		chunk, err := io.ReadAll(io.LimitReader(src, bodyReadBytes))
		if err != nil {
			return errors.Wrap(err, "read body")
		}
		b.data = append(b.data, chunk...)
		if len(chunk) < bodyReadBytes {
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
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return badRequestError("malformed_body", "", "the body could not be read: "+err.Error())
	}
	e := badRequestError("body_not_read", "", "the body could not be read in time")
	e.status = http.StatusRequestTimeout
	return e
}
