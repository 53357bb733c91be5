package jsonvalue

import (
	"encoding/json"
	"testing"
	"time"
)

func TestJoin(t *testing.T) {
	cases := map[string]struct {
		values []string
		want   string
	}{
		"none":              {nil, ""},
		"null only":         {[]string{"null", "null"}, "null"},
		"strings":           {[]string{`"a\""`, "null", `"b"`}, `"a\"b"`},
		"arrays":            {[]string{`[1]`, `[]`, `[{"a":2}]`}, `[1,{"a":2}]`},
		"objects":           {[]string{`{"name":"f","arguments":""}`, `{"arguments":"{1"}`, `{"arguments":"}"}`}, `{"arguments":"{1}","name":"f"}`},
		"null in objects":   {[]string{`{"content":[1],"refusal":null}`, `{"content":null}`}, `{"content":[1],"refusal":null}`},
		"numbers":           {[]string{"1", "2"}, "2"},
		"kinds that differ": {[]string{`"a"`, "[1]"}, "[1]"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var values []json.RawMessage
			for _, value := range c.values {
				values = append(values, json.RawMessage(value))
			}
			if got := string(Join(values)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a long response that takes time by the square of its length.
func TestLongResponsesAreJoinedInTime(t *testing.T) {
	const parts = 100_000
	fields := Fields{}
	for range parts {
		fields.Add(map[string]json.RawMessage{"text": json.RawMessage(`"a token"`), "list": json.RawMessage(`[{"token":"a token","logprob":-0.1}]`)})
	}
	begin := time.Now()
	var text string
	if err := json.Unmarshal(fields.Join()["text"], &text); err != nil || len(text) != parts*len("a token") {
		t.Fatalf("%d bytes, %v", len(text), err)
	}
	// Joining part by part takes minutes.
	if took := time.Since(begin); took > 20*time.Second {
		t.Errorf("joining %d parts took %v", parts, took)
	}
}
