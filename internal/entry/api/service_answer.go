package api

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
)

// serviceAnswer passes a plain service's answer on as it comes.
type serviceAnswer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	opened  bool
}

func (s *serviceAnswer) begun() bool { return s.opened }

// Frame passes the head, then each piece of the body.
func (s *serviceAnswer) Frame(f wire.Frame) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if f.Kind == wire.FrameHead {
		s.head(f)
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
func (s *serviceAnswer) head(f wire.Frame) {
	for _, h := range f.Header {
		s.w.Header().Add(h.Name, h.Value)
	}
	s.opened = true
	s.w.WriteHeader(f.Status)
}

func (s *serviceAnswer) finish() {}

// fail aborts the connection: HTTP has no other way to say that a body that
// has begun is not whole.
func (s *serviceAnswer) fail(problem) { panic(http.ErrAbortHandler) }
