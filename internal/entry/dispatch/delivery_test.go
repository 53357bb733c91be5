package dispatch

import (
	"testing"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
)

// invalidSink rejects the data "bad" as an invalid chunk.
type invalidSink struct{ fakeSink }

// WriteFrame implements Sink.
func (s *invalidSink) WriteFrame(f wire.Frame) error {
	if string(f.Data) == "bad" {
		return errors.Wrap(ErrInvalidChunk, "test")
	}
	return s.fakeSink.WriteFrame(f)
}

// Guards against a chunk of an engine that can't be decoded and ends the request as if its caller had
// disconnected: the caller then got an empty successful response. The stream goes on elsewhere, or fails.
func TestInvalidChunkIsAFailureOfTheEngine(t *testing.T) {
	for name, c := range map[string]struct {
		attempts int
		want     Outcome
		received string
	}{"once": {1, Completed, "ab"}, "always": {maxAttempts, Failed, "a"}} {
		t.Run(name, func(t *testing.T) {
			agent := newFakeAgent(t, "one", func(w *wire.FrameWriter, r wire.RunRequest) {
				if r.ResumeFrom == 0 {
					writeToken(w, "a")
				}
				if r.Attempt <= c.attempts {
					writeToken(w, "bad")
					return
				}
				writeToken(w, "b")
				writeEnd(w)
			})
			sink := &invalidSink{}
			result := newTestDispatcher(&fakeAgents{agents: []*fakeAgent{agent}}).Do(t.Context(), testRequest(true), sink)
			if result.Outcome != c.want || sink.received != c.received {
				t.Errorf("got %+v with %q", result, sink.received)
			}
		})
	}
}
