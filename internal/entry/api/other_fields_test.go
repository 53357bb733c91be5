package api

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/applepier/applepier/internal/entry/dispatch"
)

// otherFieldsChunks are the chunks of a response with fields that this package has no use for.
var otherFieldsChunks = []string{
	`{"id":"run-1","object":"chat.completion.chunk","created":1,"model":"apple","system_fingerprint":"fp","service_tier":"default","region":"r1","choices":[{"index":0,"delta":{"role":"assistant","reasoning_content":""},"finish_reason":null}]}`,
	`{"id":"run-1","object":"chat.completion.chunk","created":1,"model":"apple","system_fingerprint":"fp","choices":[{"index":0,"delta":{"reasoning_content":"think ","function_call":{"name":"f","arguments":"{\"a\""}},"logprobs":null,"finish_reason":null}]}`,
	`{"id":"run-1","object":"chat.completion.chunk","created":1,"model":"apple","choices":[{"index":0,"delta":{"reasoning_content":"twice","function_call":{"arguments":":1}"}},"finish_reason":null}]}`,
	`{"id":"run-1","object":"chat.completion.chunk","created":1,"model":"apple","choices":[{"index":0,"delta":{"content":"one "},"logprobs":{"content":[{"token":"one "}],"refusal":null},"finish_reason":null}]}`,
	`{"id":"run-1","object":"chat.completion.chunk","created":1,"model":"apple","choices":[{"index":0,"delta":{"content":"two"},"logprobs":{"content":[{"token":"two"}],"refusal":null},"finish_reason":"stop","stop_reason":7}]}`,
}

// Guards against a whole response that lacks what the server sent: log probabilities, the system
// fingerprint and kinds of output that the API doesn't name.
func TestBufferedResponseKeepsAllFields(t *testing.T) {
	api := newTestAPI(t)
	api.dispatcher.script = respondWith(dispatch.Completed, otherFieldsChunks...)
	var got map[string]any
	if err := json.Unmarshal(api.post("/v1/chat/completions", "", bufferedRequest).Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	delete(got, "id")
	want := map[string]any{}
	if err := json.Unmarshal([]byte(`{"object":"chat.completion","created":1,"model":"apple","system_fingerprint":"fp","service_tier":"default",
		"choices":[{"index":0,"message":{"role":"assistant","content":"one two","refusal":null,"reasoning_content":"think twice","function_call":{"name":"f","arguments":"{\"a\":1}"}},
		"logprobs":{"content":[{"token":"one "},{"token":"two"}],"refusal":null},"finish_reason":"stop"}]}`), &want); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("response:\n got %v\nwant %v", got, want)
	}
}

// Guards against a stream whose events lack what the server sent: only the ID and the time of creation are
// the entry's.
func TestStreamKeepsAllFields(t *testing.T) {
	api := newTestAPI(t)
	api.dispatcher.script = respondWith(dispatch.Completed, otherFieldsChunks...)
	events := sseEvents(api.post("/v1/chat/completions", "", streamRequest))
	if len(events) != len(otherFieldsChunks)+1 {
		t.Fatalf("%d events, want %d and [DONE]", len(events), len(otherFieldsChunks))
	}
	for i, sent := range otherFieldsChunks {
		var got, want map[string]any
		if json.Unmarshal([]byte(events[i]), &got) != nil || json.Unmarshal([]byte(sent), &want) != nil {
			t.Fatalf("event %d isn't JSON: %s", i, events[i])
		}
		if id, ok := got["id"].(string); !ok || !strings.HasPrefix(id, "chatcmpl-") {
			t.Errorf("event %d has the ID %v", i, got["id"])
		}
		delete(got, "id")
		delete(want, "id")
		if !reflect.DeepEqual(got, want) {
			t.Errorf("event %d:\n got %v\nwant %v", i, got, want)
		}
	}
}
