package api

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
)

// serviceAnswer passes a plain service's answer on as it comes.
type serviceResponse struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	headerSent bool
}

func (s *serviceResponse) started() bool { return s.headerSent }

// Frame passes the head, then each piece of the body.
func (s *serviceResponse) Frame(f wire.Frame) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if f.Kind == wire.FrameHead {
		s.writeHeader(f)
		return nil
	}
	if _, err := s.w.Write(f.Data); err != nil {
		return errors.Wrap(err, "write piece")
	}
	if err := s.control.Flush(); err != nil {
		return errors.Wrap(err, "flush piece")
	}
	return nil
}

// head leaves the length as the service gave it: a cut answer is then shorter
// than it says, and no client takes it for whole.
func (s *serviceResponse) writeHeader(f wire.Frame) {
	for _, h := range f.Header {
		s.w.Header().Add(h.Name, h.Value)
	}
	s.headerSent = true
	s.w.WriteHeader(f.Status)
}

func (s *serviceResponse) finish() {}

// fail aborts the connection: HTTP has no other way to say that a body that
// has begun is not whole.
func (s *serviceResponse) fail(apiError) { panic(http.ErrAbortHandler) }
