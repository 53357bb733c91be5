package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// streamTokens returns a script that streams the tokens after ResumeFrom and
// interrupts the stream after interruptAfter of them.
func streamTokens(tokens []string, interruptAfter int) func(*wire.FrameWriter, wire.RunRequest) {
	return func(w *wire.FrameWriter, r wire.RunRequest) {
		for i, text := range tokens[r.ResumeFrom:] {
			if i == interruptAfter {
				return
			}
			writeToken(w, text)
		}
		writeEnd(w)
	}
}

const noInterruption = -1

func TestOnlyFirstGrantRuns(t *testing.T) {
	text := streamTokens([]string{"a", "b"}, noInterruption)
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", text), newFakeAgent(t, "two", text)}}
	sink := &fakeSink{}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(true), sink)
	if result.Outcome != Completed || sink.received != "ab" || result.Tokens != 2 {
		t.Fatalf("got %+v with %q", result, sink.received)
	}
	runs := len(agents.agents[0].receivedRuns()) + len(agents.agents[1].receivedRuns())
	if runs != 1 {
		t.Fatalf("runs: got %d, want 1", runs)
	}
}

func TestInterruptedStreamResumesAfterDeliveredTokens(t *testing.T) {
	text := []string{"a", "b", "c", "d"}
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", streamTokens(text, 2))}}
	sink := &fakeSink{}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(true), sink)
	if result.Outcome != Completed || sink.received != "abcd" {
		t.Fatalf("got %+v with %q", result, sink.received)
	}
	runs := agents.agents[0].receivedRuns()
	if len(runs) < 2 || runs[1].ResumeFrom != 2 {
		t.Fatalf("runs: %+v", runs)
	}
}

func TestPreemptedRunsResumeOutsideBudget(t *testing.T) {
	const preemptions = 15 // exceeds both maxAttempts and the retry budget
	text := make([]string, preemptions+1)
	for i := range text {
		text[i] = string(rune('a' + i))
	}
	agent := newFakeAgent(t, "one", func(w *wire.FrameWriter, r wire.RunRequest) {
		writeToken(w, text[r.ResumeFrom])
		if r.ResumeFrom < preemptions {
			_ = w.Write(wire.Frame{Kind: wire.FrameFail, Fail: wire.FailPreempted})
			return
		}
		writeEnd(w)
	})
	sink := &fakeSink{}
	result := newTestDispatcher(&fakeAgents{agents: []*fakeAgent{agent}}).Do(t.Context(), testRequest(true), sink)
	if result.Outcome != Completed || sink.received != strings.Join(text, "") {
		t.Fatalf("got %+v with %q", result, sink.received)
	}
}

// exhaustRetryBudget uses up the retry budget, as the loss of many streams at
// once does.
func exhaustRetryBudget(d *Dispatcher) {
	for d.policies.allowRetry(time.Now()) {
	}
}

func TestFirstInterruptionResumesOutsideBudget(t *testing.T) {
	text := []string{"a", "b", "c", "d"}
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", streamTokens(text, 2))}}
	sink := &fakeSink{}
	dispatcher := newTestDispatcher(agents)
	exhaustRetryBudget(dispatcher)
	result := dispatcher.Do(t.Context(), testRequest(true), sink)
	if result.Outcome != Completed || sink.received != "abcd" {
		t.Fatalf("got %+v with %q", result, sink.received)
	}
}

// Guards against unlimited retries while backend servers interrupt every stream:
// only the first interruption is outside the retry budget.
func TestFurtherInterruptionsUseRetryBudget(t *testing.T) {
	text := []string{"a", "b", "c", "d", "e"}
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", streamTokens(text, 1))}}
	dispatcher := newTestDispatcher(agents)
	exhaustRetryBudget(dispatcher)
	result := dispatcher.Do(t.Context(), testRequest(true), &fakeSink{})
	if result.Outcome != Failed || result.Reason != "retry_budget" {
		t.Fatalf("got %+v", result)
	}
	if runs := len(agents.agents[0].receivedRuns()); runs != 2 {
		t.Fatalf("runs: got %d, want 2", runs)
	}
}

// A run that fails before its first token has nothing to resume, so the
// exemption of interrupted streams from the budget does not apply.
func TestRunWithoutTokensUsesRetryBudget(t *testing.T) {
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", streamTokens([]string{"a"}, 0))}}
	dispatcher := newTestDispatcher(agents)
	exhaustRetryBudget(dispatcher)
	result := dispatcher.Do(t.Context(), testRequest(true), &fakeSink{})
	if result.Outcome != Failed || result.Reason != "retry_budget" {
		t.Fatalf("got %+v", result)
	}
}

// Guards against admission control refusing a request that an agent has already
// admitted and partly run.
func TestPartlyRunRequestSkipsAdmission(t *testing.T) {
	cases := map[string]struct {
		result attemptResult
		want   bool
	}{
		"preempted":   {attemptResult{outcome: attemptPreempted}, true},
		"interrupted": {attemptResult{outcome: attemptInterrupted}, true},
		"not run":     {attemptResult{outcome: attemptNotRun}, false},
	}
	for name, c := range cases {
		j := &job{dispatcher: newTestDispatcher(&fakeAgents{}), request: testRequest(true), attempt: 1}
		j.evaluate(c.result)
		if got := j.ticket().Retry; got != c.want {
			t.Errorf("%s: skips admission: got %v, want %v", name, got, c.want)
		}
	}
}

func TestMaxAgentsAsked(t *testing.T) {
	for agents, want := range map[int]int{1: 1, 3: 3, 9: maxOverloadRefusals} {
		if got := maxAgentsAsked(policy.TopTier+1, agents); got != want {
			t.Errorf("of %d agents: got %d, want %d", agents, got, want)
		}
	}
	if got := maxAgentsAsked(policy.TopTier, 9); got != 9 {
		t.Errorf("top tier: got %d of 9", got)
	}
}

func TestOnlyResumableRequestsArePreemptible(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		request := testRequest(repeatable)
		j := &job{request: request, attempt: 1}
		if j.ticket().Preemptible != repeatable {
			t.Errorf("repeatable %v: preemptible %v", repeatable, !repeatable)
		}
		request.Class.BetweenTokens = 50 * time.Millisecond
		if j.ticket().Preemptible {
			t.Error("a request with a target between tokens is preemptible")
		}
		request.Class.BetweenTokens = 0
		request.ServiceCall = &ServiceCall{}
		if j.ticket().Preemptible {
			t.Error("a request to a plain service is preemptible")
		}
	}
}

func TestInterruptedNonRepeatableRequestEndsUnknown(t *testing.T) {
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", streamTokens([]string{"a", "b"}, 1))}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(false), &fakeSink{})
	if result.Outcome != Unknown {
		t.Fatalf("got %+v, want unknown", result)
	}
	if runs := agents.agents[0].receivedRuns(); len(runs) != 1 {
		t.Fatalf("runs: got %d, want 1", len(runs))
	}
}

func TestRequestIsRetriedAfterGrantIsVoided(t *testing.T) {
	first := true
	agent := newFakeAgent(t, "one", nil)
	agent.voidResult = wire.VoidDone
	agent.script = func(w *wire.FrameWriter, r wire.RunRequest) {
		if first {
			first = false
			return
		}
		writeToken(w, "a")
		writeEnd(w)
	}
	agents := &fakeAgents{agents: []*fakeAgent{agent}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(false), &fakeSink{})
	if result.Outcome != Completed {
		t.Fatalf("got %+v, want whole", result)
	}
}

func TestRequestRefusedByAllAgentsIsNotRun(t *testing.T) {
	one := newFakeAgent(t, "one", nil)
	one.refusalReason = wire.ReasonOverload
	two := newFakeAgent(t, "two", nil)
	two.refusalReason = wire.ReasonOverload
	agents := &fakeAgents{agents: []*fakeAgent{one, two}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(true), &fakeSink{})
	if result.Outcome != NotRun || result.RetryAfter <= 0 {
		t.Fatalf("got %+v, want not run with RetryAfter", result)
	}
}

// Guards against a request that keeps asking agents that refuse all work because
// they drain: it is refused after noAgentTimeout.
func TestDrainingAgentsAreNotAskedForever(t *testing.T) {
	agent := newFakeAgent(t, "one", nil)
	agent.refusalReason = wire.ReasonDraining
	result := newTestDispatcher(&fakeAgents{agents: []*fakeAgent{agent}}).Do(t.Context(), testRequest(true), &fakeSink{})
	if result.Outcome != NotRun || result.Reason != "no_backend_server" {
		t.Fatalf("got %+v", result)
	}
}

func TestRefusalAfterPartialRunIsFailed(t *testing.T) {
	agent := newFakeAgent(t, "one", nil)
	agent.script = func(w *wire.FrameWriter, _ wire.RunRequest) {
		writeToken(w, "a")
		agent.refusalReason = wire.ReasonOverload
	}
	agents := &fakeAgents{agents: []*fakeAgent{agent}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(true), &fakeSink{})
	if result.Outcome != Failed {
		t.Fatalf("got %+v, want failed", result)
	}
}

func TestSilentStreamTimesOut(t *testing.T) {
	release := make(chan struct{})
	silent := newFakeAgent(t, "silent", func(w *wire.FrameWriter, _ wire.RunRequest) {
		writeToken(w, "a")
		<-release
	})
	t.Cleanup(func() { close(release) })
	agents := &fakeAgents{agents: []*fakeAgent{silent}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(false), &fakeSink{})
	if result.Outcome != Unknown || result.Reason != "stream_silent" {
		t.Fatalf("got %+v, want unknown with reason stream_silent", result)
	}
}

// failingGrantRecorder simulates an unavailable table service.
type failingGrantRecorder struct{}

func (failingGrantRecorder) RecordGrant(context.Context, string, string) error {
	return errors.New("down")
}

func TestRequestIsNotSentWithoutRecordedGrant(t *testing.T) {
	agent := newFakeAgent(t, "one", nil)
	agents := &fakeAgents{agents: []*fakeAgent{agent}}
	request := testRequest(false)
	request.GrantRecorder = failingGrantRecorder{}
	result := newTestDispatcher(agents).Do(t.Context(), request, &fakeSink{})
	if result.Outcome != NotRun || len(agent.receivedRuns()) != 0 {
		t.Fatalf("got %+v with %d runs, want not run", result, len(agent.receivedRuns()))
	}
}

func TestDisconnectedCallerEndsCancelled(t *testing.T) {
	agents := &fakeAgents{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	result := newTestDispatcher(agents).Do(ctx, testRequest(true), &fakeSink{})
	if result.Outcome != Cancelled {
		t.Fatalf("got %+v, want gone", result)
	}
}
