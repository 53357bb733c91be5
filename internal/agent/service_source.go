package agent

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/wire"
)

// maxBodyFrameBytes bounds the part of a response body in one frame.
const maxBodyFrameBytes = 32 << 10

// serviceSource is the frameSource of a plain service's response: one head
// frame with the status and header, then the body.
type serviceSource struct {
	response *engine.ServiceResponse
	headSent bool
	buffer   []byte
}

func startServiceCall(ctx context.Context, service engine.Service, req *wire.RunRequest) (frameSource, error) {
	response, err := service.Do(ctx, engine.ServiceRequest{
		ID:     ticketID(req.RequestID, req.Attempt),
		Method: req.Method,
		Path:   req.Path,
		Header: toHTTPHeader(req.Header),
		Body:   req.Body,
	})
	if err != nil {
		return nil, errors.Wrap(err, "call service")
	}
	return &serviceSource{response: response, buffer: make([]byte, maxBodyFrameBytes)}, nil
}

func toHTTPHeader(fields []wire.Header) http.Header {
	h := make(http.Header)
	for _, field := range fields {
		h.Add(field.Name, field.Value)
	}
	return h
}

func toWireHeaders(h http.Header) []wire.Header {
	var fields []wire.Header
	for name, values := range h {
		for _, value := range values {
			fields = append(fields, wire.Header{Name: name, Value: value})
		}
	}
	return fields
}

func (s *serviceSource) Next() (wire.Frame, error) {
	if !s.headSent {
		s.headSent = true
		return wire.Frame{Kind: wire.FrameHeaders, Status: s.response.Status, Header: toWireHeaders(s.response.Header)}, nil
	}
	for {
		n, err := s.response.Body.Read(s.buffer)
		if n > 0 {
			return wire.Frame{Kind: wire.FrameData, Data: append([]byte(nil), s.buffer[:n]...)}, nil
		}
		if errors.Is(err, io.EOF) {
			return wire.Frame{}, io.EOF
		}
		if err != nil {
			return wire.Frame{}, errors.Wrap(err, "read service response")
		}
	}
}

func (s *serviceSource) Close() error {
	if err := s.response.Body.Close(); err != nil {
		return errors.Wrap(err, "close service response")
	}
	return nil
}
