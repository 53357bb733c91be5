package engine

import (
	"context"
	"io"
	"net/http"
)

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	// ID identifies the run. It consists of the request ID and the attempt.
	ID string
	// Method is the HTTP method.
	Method string
	// Path is the path on the service including the query.
	Path string
	// Header holds the caller's headers. Hop-by-hop headers are not sent to the
	// service.
	Header http.Header
	// Body is the caller's body; it may be empty.
	Body []byte
}

// ServiceResponse is a plain service's response. The caller must close Body.
type ServiceResponse struct {
	// Status is the HTTP status.
	Status int
	// Header holds the service's headers without hop-by-hop headers.
	Header http.Header
	// Body is the response body. Reading it returns an error other than io.EOF
	// when the connection breaks.
	Body io.ReadCloser
}

// Service is the interface of a plain service.
type Service interface {
	// Do makes a call. It returns ErrUnreachable when the call has certainly
	// not started, and another error when that is unknown. No HTTP status is an
	// error.
	Do(ctx context.Context, call ServiceRequest) (*ServiceResponse, error)
}
