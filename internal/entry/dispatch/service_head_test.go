package dispatch

import (
	"testing"

	"github.com/applepier/applepier/internal/wire"
)

// headerSink counts the heads that were passed on.
type headerSink struct {
	fakeSink
	heads int
}

// WriteFrame implements Sink.
func (s *headerSink) WriteFrame(f wire.Frame) error {
	if f.Kind == wire.FrameHeaders {
		s.heads++
	}
	return s.fakeSink.WriteFrame(f)
}

// Guards against a second head, of another run, in the response of a plain service that broke off after
// its head.
func TestResponseWithHeadIsNotRetried(t *testing.T) {
	agent := newFakeAgent(t, "one", func(w *wire.FrameWriter, r wire.RunRequest) {
		_ = w.Write(wire.Frame{Kind: wire.FrameHeaders, Status: 200 + r.Attempt})
		if r.Attempt > 1 {
			writeToken(w, "whole")
			writeEnd(w)
		}
	})
	request, sink := testRequest(true), &headerSink{}
	request.ServiceCall = &ServiceCall{Method: "GET", Path: "/"}
	result := newTestDispatcher(&fakeAgents{agents: []*fakeAgent{agent}}).Do(t.Context(), request, sink)
	if result.Outcome != Failed || sink.heads != 1 {
		t.Errorf("got %+v with %d heads", result, sink.heads)
	}
}
