package agent

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/wire"
)

// source is a backend server's answer as frames; io.EOF ends a whole one.
type source interface {
	Next() (wire.Frame, error)
	Close() error
}

// step is one frame of a source, or its end.
type step struct {
	frame wire.Frame
	err   error
}

// pump reads a source until its end and hands each step over.
func pump(ctx context.Context, s source, steps chan<- step) {
	for {
		f, err := s.Next()
		select {
		case steps <- step{frame: f, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// engineSource is a model's stream.
type engineSource struct{ stream engine.Stream }

func (s *engineSource) Next() (wire.Frame, error) {
	c, err := s.stream.Next()
	if err != nil {
		return wire.Frame{}, err
	}
	return wire.Frame{Kind: wire.FrameData, Data: c.Data, Tokens: c.Tokens}, nil
}

func (s *engineSource) Close() error {
	if err := s.stream.Close(); err != nil {
		return errors.Wrap(err, "close stream")
	}
	return nil
}
