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
	// notStarted says that err came instead of a source.
	notStarted bool
}

// pump reads a source until its end and hands each step over.
func pump(ctx context.Context, s source, steps chan<- step) {
	for {
		f, err := s.Next()
		if !hand(ctx, steps, step{frame: f, err: err}) || err != nil {
			return
		}
	}
}

// hand reports whether the step was taken.
func hand(ctx context.Context, steps chan<- step, s step) bool {
	select {
	case steps <- s:
		return true
	case <-ctx.Done():
		return false
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
