package api

import "testing"

// Guards against preemption of a request whose response perhaps can't be resumed, and against fields that
// say nothing about that.
func TestRequestsWithToolsOrSeveralChoicesMayBeUncounted(t *testing.T) {
	for fields, want := range map[string]bool{
		``:                                  false,
		`,"tools":null,"n":null`:            false,
		`,"tools":[],"functions":[],"n":1`:  false,
		`,"tools":[{"type":"function"}]`:    true,
		`,"functions":[{"name":"f"}]`:       true,
		`,"n":2`:                            true,
		`,"tools":"invalid","n":"as it is"`: true,
	} {
		chat, apiErr := parseChatRequest([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]` + fields + `}`))
		if apiErr != nil || chat.mayBeUncounted() != want {
			t.Errorf("%s: got %v, %v", fields, chat.mayBeUncounted(), apiErr)
		}
	}
}
