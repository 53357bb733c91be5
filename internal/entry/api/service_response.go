package api

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
)

// serviceResponse streams the response of a plain service to the caller.
type serviceResponse struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	headerSent bool
}

func (s *serviceResponse) started() bool { return s.headerSent }

// WriteFrame forwards the status and headers, then each part of the body.
func (s *serviceResponse) WriteFrame(f wire.Frame) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if f.Kind == wire.FrameHeaders {
		s.writeHeader(f)
		return nil
	}
	if _, err := s.w.Write(f.Data); err != nil {
		return errors.Wrap(err, "write response body")
	}
	if err := s.control.Flush(); err != nil {
		return errors.Wrap(err, "flush response body")
	}
	return nil
}

// writeHeader forwards the Content-Length of the service unchanged: if the response is
// cut off, the body is shorter than declared and callers detect that it is incomplete.
func (s *serviceResponse) writeHeader(f wire.Frame) {
	for _, h := range f.Header {
		s.w.Header().Add(h.Name, h.Value)
	}
	s.headerSent = true
	s.w.WriteHeader(f.Status)
}

func (s *serviceResponse) finish() {}

// fail aborts the connection: HTTP has no other way to signal that a body is incomplete
// after it has started.
func (s *serviceResponse) fail(apiError) { panic(http.ErrAbortHandler) }
