package dispatch

import (
	"testing"

	"github.com/applepier/applepier/internal/wire"
)

// Guards against chunks that the caller receives twice: a stream of tool calls or refusals counts no
// tokens, so that a resumption would start from the beginning. It must fail instead, also if content
// precedes, and must not be preempted.
func TestStreamWithUncountedOutputIsNotResumed(t *testing.T) {
	for name, fail := range map[string]wire.FailKind{"interrupted": wire.FailInterrupted, "preempted": wire.FailPreempted} {
		t.Run(name, func(t *testing.T) {
			agent := newFakeAgent(t, "one", func(w *wire.FrameWriter, r wire.RunRequest) {
				if r.ResumeFrom == 0 {
					writeToken(w, "a")
				}
				_ = w.Write(wire.Frame{Kind: wire.FrameData, Data: []byte("x"), Uncounted: true})
				if r.Attempt == 1 {
					_ = w.Write(wire.Frame{Kind: wire.FrameFail, Fail: fail})
					return
				}
				_ = w.Write(wire.Frame{Kind: wire.FrameData, Data: []byte("y"), Uncounted: true})
				writeEnd(w)
			})
			sink := &fakeSink{}
			result := newTestDispatcher(&fakeAgents{agents: []*fakeAgent{agent}}).Do(t.Context(), testRequest(true), sink)
			if result.Outcome != Failed || sink.received != "ax" {
				t.Errorf("got %+v with %q", result, sink.received)
			}
		})
	}
	request := testRequest(true)
	request.MayBeUncounted = true
	if j := (&job{request: request, attempt: 1}); j.ticket().Preemptible {
		t.Error("a request whose response can perhaps not be resumed is preemptible")
	}
}
