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

// tokensFrom answers with the tokens that the caller doesn't have yet, and is
// cut after the given number of them.
func tokensFrom(answer []string, cutAfter int) func(*wire.FrameWriter, wire.RunRequest) {
	return func(w *wire.FrameWriter, r wire.RunRequest) {
		for i, text := range answer[r.ResumeFrom:] {
			if i == cutAfter {
				return
			}
			token(w, text)
		}
		finish(w)
	}
}

const never = -1

func TestFirstGrantRunsAndTheOtherIsDeclined(t *testing.T) {
	answer := tokensFrom([]string{"a", "b"}, never)
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", answer), newFakeAgent(t, "two", answer)}}
	sink := &fakeSink{}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(true), sink)
	if result.Outcome != Whole || sink.text != "ab" || result.Tokens != 2 {
		t.Fatalf("got %+v with %q", result, sink.text)
	}
	runs := len(agents.agents[0].taken()) + len(agents.agents[1].taken())
	if runs != 1 {
		t.Fatalf("runs: got %d, want 1", runs)
	}
}

func TestCutStreamIsResumedFromWhatTheCallerHas(t *testing.T) {
	answer := []string{"a", "b", "c", "d"}
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", tokensFrom(answer, 2))}}
	sink := &fakeSink{}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(true), sink)
	if result.Outcome != Whole || sink.text != "abcd" {
		t.Fatalf("got %+v with %q", result, sink.text)
	}
	runs := agents.agents[0].taken()
	if len(runs) < 2 || runs[1].ResumeFrom != 2 {
		t.Fatalf("runs: %+v", runs)
	}
}

func TestPreemptedRunsAreContinuedWhateverTheBudget(t *testing.T) {
	const preemptions = 15 // more than attempts and the retry budget allow
	answer := make([]string, preemptions+1)
	for i := range answer {
		answer[i] = string(rune('a' + i))
	}
	agent := newFakeAgent(t, "one", func(w *wire.FrameWriter, r wire.RunRequest) {
		token(w, answer[r.ResumeFrom])
		if r.ResumeFrom < preemptions {
			_ = w.Write(wire.Frame{Kind: wire.FrameFail, Fail: wire.FailPreempted})
			return
		}
		finish(w)
	})
	sink := &fakeSink{}
	result := newTestDispatcher(&fakeAgents{agents: []*fakeAgent{agent}}).Do(t.Context(), testRequest(true), sink)
	if result.Outcome != Whole || sink.text != strings.Join(answer, "") {
		t.Fatalf("got %+v with %q", result, sink.text)
	}
}

// drain spends the retry budget, as the loss of many streams at once does.
func drain(d *Dispatcher) {
	for d.shared.allowRetry(time.Now()) {
	}
}

func TestStreamCutOnceIsContinuedWhateverTheBudget(t *testing.T) {
	answer := []string{"a", "b", "c", "d"}
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", tokensFrom(answer, 2))}}
	sink := &fakeSink{}
	dispatcher := newTestDispatcher(agents)
	drain(dispatcher)
	result := dispatcher.Do(t.Context(), testRequest(true), sink)
	if result.Outcome != Whole || sink.text != "abcd" {
		t.Fatalf("got %+v with %q", result, sink.text)
	}
}

// Servers that break each stream off again and again must not get their load
// back as retries.
func TestFurtherCutsAreRetriedWithinTheBudget(t *testing.T) {
	answer := []string{"a", "b", "c", "d", "e"}
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", tokensFrom(answer, 1))}}
	dispatcher := newTestDispatcher(agents)
	drain(dispatcher)
	result := dispatcher.Do(t.Context(), testRequest(true), &fakeSink{})
	if result.Outcome != Failed || result.Reason != "retry_budget" {
		t.Fatalf("got %+v", result)
	}
	if runs := len(agents.agents[0].taken()); runs != 2 {
		t.Fatalf("runs: got %d, want 2", runs)
	}
}

// A server that fails before its first token gives nothing to go on with.
func TestRunWithoutATokenIsRetriedWithinTheBudget(t *testing.T) {
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", tokensFrom([]string{"a"}, 0))}}
	dispatcher := newTestDispatcher(agents)
	drain(dispatcher)
	result := dispatcher.Do(t.Context(), testRequest(true), &fakeSink{})
	if result.Outcome != Failed || result.Reason != "retry_budget" {
		t.Fatalf("got %+v", result)
	}
}

func TestRequestThatRanInPartSkipsAdmission(t *testing.T) {
	cases := map[string]struct {
		end  end
		want bool
	}{
		"preempted":         {end{kind: endPreempted}, true},
		"cut":               {end{kind: endCut}, true},
		"certainly not run": {end{kind: endNotRun}, false},
	}
	for name, c := range cases {
		j := &job{dispatcher: newTestDispatcher(&fakeAgents{}), request: testRequest(true), attempt: 1}
		j.decide(c.end)
		if got := j.ticket().Retry; got != c.want {
			t.Errorf("%s: skips admission: got %v, want %v", name, got, c.want)
		}
	}
}

func TestTicketSaysHowManyAgentsAreAsked(t *testing.T) {
	for agents, want := range map[int]int{1: 1, 3: 3, 9: maxRefusals} {
		if got := asksOf(policy.TopTier+1, agents); got != want {
			t.Errorf("of %d agents: got %d, want %d", agents, got, want)
		}
	}
	if got := asksOf(policy.TopTier, 9); got != 9 {
		t.Errorf("top tier: got %d of 9", got)
	}
}

func TestOnlyWorkThatCanBeResumedMayBePreempted(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		request := testRequest(repeatable)
		j := &job{request: request, attempt: 1}
		if j.ticket().Preemptible != repeatable {
			t.Errorf("repeatable %v: preemptible %v", repeatable, !repeatable)
		}
		request.Class.BetweenTokens = 50 * time.Millisecond
		if j.ticket().Preemptible {
			t.Error("an answer with a target between tokens may be preempted")
		}
		request.Class.BetweenTokens = 0
		request.Call = &Call{}
		if j.ticket().Preemptible {
			t.Error("a plain service's call may be preempted")
		}
	}
}

func TestWorkThatMustNotBeRepeatedEndsUnknown(t *testing.T) {
	agents := &fakeAgents{agents: []*fakeAgent{newFakeAgent(t, "one", tokensFrom([]string{"a", "b"}, 1))}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(false), &fakeSink{})
	if result.Outcome != Unknown {
		t.Fatalf("got %+v, want unknown", result)
	}
	if runs := agents.agents[0].taken(); len(runs) != 1 {
		t.Fatalf("runs: got %d, want 1", len(runs))
	}
}

func TestVoidedGrantMayBeSentAgain(t *testing.T) {
	first := true
	agent := newFakeAgent(t, "one", nil)
	agent.void = wire.VoidDone
	agent.script = func(w *wire.FrameWriter, r wire.RunRequest) {
		if first {
			first = false
			return
		}
		token(w, "a")
		finish(w)
	}
	agents := &fakeAgents{agents: []*fakeAgent{agent}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(false), &fakeSink{})
	if result.Outcome != Whole {
		t.Fatalf("got %+v, want whole", result)
	}
}

func TestRefusedEverywhereIsNotRun(t *testing.T) {
	one := newFakeAgent(t, "one", nil)
	one.refuse = wire.ReasonOverload
	two := newFakeAgent(t, "two", nil)
	two.refuse = wire.ReasonOverload
	agents := &fakeAgents{agents: []*fakeAgent{one, two}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(true), &fakeSink{})
	if result.Outcome != NotRun || result.RetryAfter <= 0 {
		t.Fatalf("got %+v, want not run with a time to come back", result)
	}
}

func TestAgentsThatTakeNoWorkAreNotAskedWithoutEnd(t *testing.T) {
	agent := newFakeAgent(t, "one", nil)
	agent.refuse = wire.ReasonLeaving
	result := newTestDispatcher(&fakeAgents{agents: []*fakeAgent{agent}}).Do(t.Context(), testRequest(true), &fakeSink{})
	if result.Outcome != NotRun || result.Reason != "no_backend_server" {
		t.Fatalf("got %+v", result)
	}
}

func TestRefusedAfterAPartRanIsNotCalledNotRun(t *testing.T) {
	agent := newFakeAgent(t, "one", nil)
	agent.script = func(w *wire.FrameWriter, _ wire.RunRequest) {
		token(w, "a")
		agent.refuse = wire.ReasonOverload
	}
	agents := &fakeAgents{agents: []*fakeAgent{agent}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(true), &fakeSink{})
	if result.Outcome != Failed {
		t.Fatalf("got %+v, want failed", result)
	}
}

func TestSilentStreamIsCut(t *testing.T) {
	release := make(chan struct{})
	silent := newFakeAgent(t, "silent", func(w *wire.FrameWriter, _ wire.RunRequest) {
		token(w, "a")
		<-release
	})
	t.Cleanup(func() { close(release) })
	agents := &fakeAgents{agents: []*fakeAgent{silent}}
	result := newTestDispatcher(agents).Do(t.Context(), testRequest(false), &fakeSink{})
	if result.Outcome != Unknown || result.Reason != "stream_silent" {
		t.Fatalf("got %+v, want a silent stream's unknown", result)
	}
}

// guardDown is a table service that is down.
type guardDown struct{}

func (guardDown) Take(context.Context, string, string) error { return errors.New("down") }

func TestUnrecordedClaimIsNotSent(t *testing.T) {
	agent := newFakeAgent(t, "one", nil)
	agents := &fakeAgents{agents: []*fakeAgent{agent}}
	request := testRequest(false)
	request.Guard = guardDown{}
	result := newTestDispatcher(agents).Do(t.Context(), request, &fakeSink{})
	if result.Outcome != NotRun || len(agent.taken()) != 0 {
		t.Fatalf("got %+v with %d runs, want not run", result, len(agent.taken()))
	}
}

func TestCallerThatGoesWithdrawsItsTickets(t *testing.T) {
	agents := &fakeAgents{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	result := newTestDispatcher(agents).Do(ctx, testRequest(true), &fakeSink{})
	if result.Outcome != Gone {
		t.Fatalf("got %+v, want gone", result)
	}
}
