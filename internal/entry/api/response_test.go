package api

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/wire"
)

const (
	bufferedRequest = `{"model":"apple","messages":[{"role":"user","content":"hi"}]}`
	streamRequest   = `{"model":"apple","stream":true,"messages":[{"role":"user","content":"hi"}]}`

	roleChunk        = `{"id":"run-1","created":1,"choices":[{"index":0,"delta":{"role":"assistant"},"finish_reason":null}]}`
	resumedRoleChunk = `{"id":"run-2","created":9,"choices":[{"index":0,"delta":{"role":"assistant"},"finish_reason":null}]}`
	firstChunk       = `{"id":"run-1","created":1,"choices":[{"index":0,"delta":{"content":"one "},"finish_reason":null}]}`
	resumedChunk     = `{"id":"run-2","created":9,"choices":[{"index":0,"delta":{"content":"two"},"finish_reason":"stop"}]}`
	usageChunk       = `{"id":"run-2","created":9,"choices":[],"usage":{"total_tokens":3}}`
)

func respondWith(outcome dispatch.Outcome, chunks ...string) func(*dispatch.Request, dispatch.Sink) dispatch.Result {
	return func(_ *dispatch.Request, sink dispatch.Sink) dispatch.Result {
		for _, c := range chunks {
			_ = sink.WriteFrame(wire.Frame{Kind: wire.FrameData, Data: []byte(c), Tokens: 1})
		}
		return dispatch.Result{Outcome: outcome, Reason: "test", BodySent: true}
	}
}

// sseEvents returns the data of the server-sent events in a response.
func sseEvents(w *httptest.ResponseRecorder) []string {
	var list []string
	for line := range strings.SplitSeq(w.Body.String(), "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			list = append(list, data)
		}
	}
	return list
}

func TestResumedStreamLooksLikeOneRun(t *testing.T) {
	api := newTestAPI(t)
	api.dispatcher.script = respondWith(dispatch.Completed, roleChunk, firstChunk, resumedRoleChunk, resumedChunk, usageChunk)
	list := sseEvents(api.post("/v1/chat/completions", "", streamRequest))
	if len(list) != 4 || list[3] != "[DONE]" {
		t.Fatalf("events: got %d %q, want the role, two deltas and [DONE]", len(list), list)
	}
	var ids []string
	for _, data := range list[:3] {
		var c struct {
			ID      string
			Created int64
		}
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, c.ID)
		if c.Created != 1 {
			t.Errorf("created: got %d, want that of the first run", c.Created)
		}
	}
	if ids[0] != ids[1] || ids[1] != ids[2] {
		t.Errorf("ids: %q", ids)
	}
}

// Guards against refusals that lose all but their last delta.
func TestBufferedResponseJoinsRefusal(t *testing.T) {
	api := newTestAPI(t)
	refusal := func(text string) string {
		return `{"choices":[{"index":0,"delta":{"refusal":"` + text + `"},"finish_reason":null}]}`
	}
	api.dispatcher.script = respondWith(dispatch.Completed, roleChunk, refusal("I "), refusal("can't"))
	var got completion
	if err := json.Unmarshal(api.post("/v1/chat/completions", "", bufferedRequest).Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if refusal := got.Choices[0].Message.Refusal; refusal == nil || *refusal != "I can't" {
		t.Errorf("got %+v", got.Choices[0].Message)
	}
}

// Guards against an undecodable chunk that is taken for a caller that has disconnected.
func TestUndecodableChunksAreInvalid(t *testing.T) {
	for name, request := range map[string]string{"stream": streamRequest, "buffered": bufferedRequest} {
		for _, data := range []string{"not JSON", `{"choices":[{"index":-1}]}`, `{"choices":"none"}`, "null"} {
			api := newTestAPI(t)
			api.dispatcher.script = func(_ *dispatch.Request, sink dispatch.Sink) dispatch.Result {
				if err := sink.WriteFrame(wire.Frame{Kind: wire.FrameData, Data: []byte(data)}); err != nil && !errors.Is(err, dispatch.ErrInvalidChunk) {
					t.Errorf("%s, %s: got %v", name, data, err)
				}
				return dispatch.Result{Outcome: dispatch.Failed, Reason: "test"}
			}
			api.post("/v1/chat/completions", "", request)
		}
	}
}

func TestInterruptedStreamEndsWithErrorWithoutDone(t *testing.T) {
	api := newTestAPI(t)
	api.dispatcher.script = respondWith(dispatch.Failed, roleChunk, firstChunk)
	list := sseEvents(api.post("/v1/chat/completions", "", streamRequest))
	last := list[len(list)-1]
	if last == "[DONE]" || !strings.Contains(last, `"code":"failed"`) {
		t.Fatalf("last event: %q", last)
	}
}

func TestBufferedResponseJoinsChunks(t *testing.T) {
	api := newTestAPI(t)
	api.dispatcher.script = respondWith(dispatch.Completed, roleChunk, firstChunk, resumedRoleChunk, resumedChunk, usageChunk)
	w := api.post("/v1/chat/completions", "", bufferedRequest)
	var got completion
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	choice := got.Choices[0]
	if choice.Message.Content != "one two" || choice.FinishReason == nil || string(got.Usage) != `{"total_tokens":3}` {
		t.Fatalf("got %s", w.Body)
	}
}

func TestInterruptedBufferedResponseIsAnError(t *testing.T) {
	api := newTestAPI(t)
	api.dispatcher.script = respondWith(dispatch.Unknown, roleChunk, firstChunk)
	w := api.post("/v1/chat/completions", "", bufferedRequest)
	if w.Code != http.StatusGatewayTimeout || strings.Contains(w.Body.String(), "one") {
		t.Fatalf("got %d %s", w.Code, w.Body)
	}
}

func TestToolCallDeltasAreJoined(t *testing.T) {
	api := newTestAPI(t)
	api.dispatcher.script = respondWith(dispatch.Completed,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"a","type":"function","function":{"name":"look","arguments":"{\"x\""}}]}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
	)
	var got completion
	if err := json.Unmarshal(api.post("/v1/chat/completions", "", bufferedRequest).Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	calls := got.Choices[0].Message.ToolCalls
	if len(calls) != 1 || calls[0].Function.Arguments != `{"x":1}` || calls[0].ID != "a" {
		t.Fatalf("tool calls: %+v", calls)
	}
}

func TestBackendServerErrorIsForwarded(t *testing.T) {
	api := newTestAPI(t)
	api.dispatcher.script = func(*dispatch.Request, dispatch.Sink) dispatch.Result {
		return dispatch.Result{Outcome: dispatch.Rejected, Status: http.StatusBadRequest, Body: []byte(`{"error":{"code":"context_length_exceeded"}}`)}
	}
	w := api.post("/v1/chat/completions", "", bufferedRequest)
	if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), "context_length_exceeded") {
		t.Fatalf("got %d %s", w.Code, w.Body)
	}
}
