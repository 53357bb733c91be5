package agent

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/wire"
)

// pieceBytes is how much of a plain service's body one frame carries.
const pieceBytes = 32 << 10

// serviceSource is a plain service's answer: its head, then its body.
type serviceSource struct {
	answer *engine.ServiceAnswer
	headed bool
	buffer []byte
}

func startService(ctx context.Context, s engine.Service, req *wire.RunRequest) (source, error) {
	answer, err := s.Do(ctx, engine.ServiceCall{
		ID:     ticketID(req.Request, req.Attempt),
		Method: req.Method,
		Path:   req.Path,
		Header: headerOf(req.Header),
		Body:   req.Body,
	})
	if err != nil {
		return nil, errors.Wrap(err, "call service")
	}
	return &serviceSource{answer: answer, buffer: make([]byte, pieceBytes)}, nil
}

func headerOf(lines []wire.Header) http.Header {
	h := make(http.Header)
	for _, line := range lines {
		h.Add(line.Name, line.Value)
	}
	return h
}

func linesOf(h http.Header) []wire.Header {
	var lines []wire.Header
	for name, values := range h {
		for _, value := range values {
			lines = append(lines, wire.Header{Name: name, Value: value})
		}
	}
	return lines
}

func (s *serviceSource) Next() (wire.Frame, error) {
	if !s.headed {
		s.headed = true
		return wire.Frame{Kind: wire.FrameHead, Status: s.answer.Status, Header: linesOf(s.answer.Header)}, nil
	}
	for {
		n, err := s.answer.Body.Read(s.buffer)
		if n > 0 {
			return wire.Frame{Kind: wire.FrameData, Data: append([]byte(nil), s.buffer[:n]...)}, nil
		}
		if errors.Is(err, io.EOF) {
			return wire.Frame{}, io.EOF
		}
		if err != nil {
			return wire.Frame{}, errors.Wrap(err, "read service's answer")
		}
	}
}

func (s *serviceSource) Close() error {
	if err := s.answer.Body.Close(); err != nil {
		return errors.Wrap(err, "close service's answer")
	}
	return nil
}
