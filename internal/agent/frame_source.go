package agent

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/wire"
)

// frameSource reads a backend server's response as frames. Next returns io.EOF
// at the end of a complete response.
type frameSource interface {
	Next() (wire.Frame, error)
	Close() error
}

// frameResult is the result of one call of frameSource.Next, or the error of
// starting the run.
type frameResult struct {
	frame wire.Frame
	err   error
	// notStarted is set when err is the error of starting the run.
	notStarted bool
}

// sendFrames reads source until its end or an error and sends each result.
func sendFrames(ctx context.Context, source frameSource, results chan<- frameResult) {
	for {
		f, err := source.Next()
		if !sendResult(ctx, results, frameResult{frame: f, err: err}) || err != nil {
			return
		}
	}
}

// sendResult sends a result and reports false if ctx ended first.
func sendResult(ctx context.Context, results chan<- frameResult, result frameResult) bool {
	select {
	case results <- result:
		return true
	case <-ctx.Done():
		return false
	}
}

// engineSource is the frameSource of an engine's stream.
type engineSource struct {
	stream engine.Stream
	// begun is set once a frame has been returned.
	begun bool
}

func (s *engineSource) Next() (wire.Frame, error) {
	c, err := s.stream.Next()
	if err != nil {
		return wire.Frame{}, err
	}
	f := wire.Frame{Kind: wire.FrameData, Data: c.Data, Tokens: c.Tokens, Uncounted: c.Uncounted}
	if !s.begun {
		s.begun, f.SoftwareVersion = true, c.SoftwareVersion
	}
	return f, nil
}

func (s *engineSource) Close() error {
	if err := s.stream.Close(); err != nil {
		return errors.Wrap(err, "close stream")
	}
	return nil
}
