package dispatch

import (
	"testing"
	"time"

	"github.com/applepier/applepier/internal/wire"
)

// versionAgent returns an agent whose engine has a software version. Its streams begin with a frame
// without tokens, and are interrupted after interruptAfter tokens.
func versionAgent(t *testing.T, name, version string, interruptAfter int) *fakeAgent {
	t.Helper()
	tokens := streamTokens([]string{"a", "b", "c", "d"}, interruptAfter)
	agent := newFakeAgent(t, name, func(w *wire.FrameWriter, r wire.RunRequest) {
		if r.ResumeFrom > 0 && r.SoftwareVersion != version {
			_ = w.Write(wire.Frame{Kind: wire.FrameFail, Fail: wire.FailOtherVersion})
			return
		}
		_ = w.Write(wire.Frame{Kind: wire.FrameData, SoftwareVersion: version})
		tokens(w, r)
	})
	agent.version = version
	return agent
}

// Guards against a response that holds tokens of engines of two software versions: a stream that is
// interrupted resumes at an engine of the version that began it, and fails if there is none.
func TestInterruptedStreamResumesAtItsSoftwareVersion(t *testing.T) {
	for name, c := range map[string]struct {
		others []string
		want   Outcome
	}{
		"engines of both versions":   {[]string{"v2", "v2", "v1"}, Completed},
		"no engine of the version":   {[]string{"v2", "v2"}, Failed},
		"engine of unknown version":  {[]string{""}, Failed},
		"agent of the version alone": {[]string{"v1"}, Completed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := versionAgent(t, "first", "v1", 2)
			agents := &fakeAgents{agents: []*fakeAgent{first}}
			dispatcher := newTestDispatcher(agents)
			sink := &addingSink{onFirstToken: func() {
				agents.mu.Lock()
				defer agents.mu.Unlock()
				agents.agents = nil
				for i, version := range c.others {
					agents.agents = append(agents.agents, versionAgent(t, string(rune('p'+i)), version, noInterruption))
				}
			}}
			result := dispatcher.Do(t.Context(), testRequest(true), sink)
			if result.Outcome != c.want || c.want == Completed && sink.received != "abcd" || c.want != Completed && sink.received != "ab" {
				t.Errorf("got %+v with %q", result, sink.received)
			}
			for _, agent := range agents.agents {
				if runs := agent.receivedRuns(); len(runs) > 0 && agent.version != "v1" {
					t.Errorf("an engine of version %q was asked to resume the stream: %+v", agent.version, runs)
				}
			}
		})
	}
}

// Guards against an agent whose report of its engine's version is out of date: the engine is asked, and
// the request goes on elsewhere.
func TestStreamResumesElsewhereIfVersionReportWasOld(t *testing.T) {
	first := versionAgent(t, "first", "v1", 2)
	agents := &fakeAgents{agents: []*fakeAgent{first}}
	sink := &addingSink{onFirstToken: func() {
		agents.mu.Lock()
		defer agents.mu.Unlock()
		restarted := versionAgent(t, "restarted", "v2", noInterruption)
		restarted.version = "v1"
		agents.agents = []*fakeAgent{restarted, versionAgent(t, "same", "v1", noInterruption)}
	}}
	if result := newTestDispatcher(agents).Do(t.Context(), testRequest(true), sink); result.Outcome != Completed || sink.received != "abcd" {
		t.Errorf("got %+v with %q", result, sink.received)
	}
}

// Guards against a stream that fails because each attempt goes to the same agent again, whose engine has
// ended but which isn't known to be down: it grants at once, because nothing runs there. The engines of
// one version may be few.
func TestNextAttemptAvoidsAgentThatDidNotStart(t *testing.T) {
	first := versionAgent(t, "first", "v1", 2)
	agents := &fakeAgents{agents: []*fakeAgent{first}}
	sink := &addingSink{onFirstToken: func() {
		agents.mu.Lock()
		defer agents.mu.Unlock()
		ended := newFakeAgent(t, "ended", func(w *wire.FrameWriter, _ wire.RunRequest) {
			_ = w.Write(wire.Frame{Kind: wire.FrameFail, Fail: wire.FailNotRun})
		})
		busy := versionAgent(t, "busy", "v1", noInterruption)
		ended.version, busy.grantDelay = "v1", 50*time.Millisecond
		agents.agents = []*fakeAgent{ended, busy}
	}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(true), sink)
	if result.Outcome != Completed || sink.received != "abcd" || result.Attempts > 3 {
		t.Errorf("got %+v with %q", result, sink.received)
	}
}

// addingSink is a fakeSink that calls onFirstToken when it receives the first token.
type addingSink struct {
	fakeSink
	onFirstToken func()
}

// WriteFrame implements Sink.
func (s *addingSink) WriteFrame(f wire.Frame) error {
	if s.received == "" && len(f.Data) > 0 {
		s.onFirstToken()
	}
	return s.fakeSink.WriteFrame(f)
}
