package engine

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"
)

// bytesPerToken is how much prompt text counts as one token.
const bytesPerToken = 4

// request is what the stand-in reads of a chat completion request.
type request struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Metadata            metadata  `json:"metadata"`
}

// message is one message; its content is text or a list of parts.
type message struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

// metadata carries a test's own wishes past the router.
type metadata struct {
	// AnswerTokens is the exact length of the answer, which the router
	// can't know beforehand.
	AnswerTokens int `json:"answer_tokens,string"`
	// Marker names the work; the record of the run repeats it, so that runs
	// and callers can be told together even when a caller learnt no id.
	Marker string `json:"marker"`
}

func decodeRequest(body []byte) (*request, error) {
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	if len(req.Messages) == 0 {
		return nil, errors.New("messages are missing")
	}
	return &req, nil
}

// prompt is the text of all messages.
func (r *request) prompt() string {
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Role)
		text.WriteByte('\n')
		text.WriteString(m.text())
		text.WriteByte('\n')
	}
	return text.String()
}

func (m message) text() string {
	if text, ok := m.Content.(string); ok {
		return text
	}
	encoded, err := json.Marshal(m.Content)
	if err != nil {
		return ""
	}
	return string(encoded)
}

// countTokens estimates how many tokens a text has.
func countTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}
