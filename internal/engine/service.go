package engine

import (
	"context"
	"io"
	"net/http"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	// ID identifies the run: the request id and its attempt.
	ID string
	// Method is the HTTP method.
	Method string
	// Path is the path on the service, with its query.
	Path string
	// Header holds the caller's headers; those of a single connection are
	// left out on the way.
	Header http.Header
	// Body is the caller's body; it may be empty.
	Body []byte
}

// ServiceAnswer is a plain service's answer. Its reader must be closed.
type ServiceAnswer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the service's headers.
	Header http.Header
	// Body reads the answer; a cut connection is an error, not io.EOF.
	Body io.ReadCloser
}

// Service is a plain service.
type Service interface {
	// Do makes a call: ErrUnreachable when it has certainly not started,
	// another error when that is unknown. Any status is an answer.
	Do(ctx context.Context, call ServiceCall) (*ServiceAnswer, error)
}
