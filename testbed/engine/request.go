package engine

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"
)

// bytesPerToken is the number of bytes of text that count as one token.
const bytesPerToken = 4

// request holds the fields of a chat completion request that the server uses.
type request struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Metadata            metadata  `json:"metadata"`
}

// message is one chat message. Content is a string or a list of content parts.
type message struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

// metadata holds settings that a test passes to the engine; the router does not
// read them.
type metadata struct {
	// ResponseTokens is the exact length of the response. It is not in
	// max_tokens because the router must not know the length in advance.
	ResponseTokens int `json:"answer_tokens,string"`
	// Marker is copied to the run's record, so that a test can match runs
	// and requests even if the caller never received a request ID.
	Marker string `json:"marker"`
}

// decodeRequest decodes a request body. It returns an error if the body is not
// valid JSON or has no messages.
func decodeRequest(body []byte) (*request, error) {
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	if len(req.Messages) == 0 {
		return nil, errors.New("messages must not be empty")
	}
	return &req, nil
}

// promptText returns the roles and contents of all messages as one text.
func (r *request) promptText() string {
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Role)
		text.WriteByte('\n')
		text.WriteString(m.text())
		text.WriteByte('\n')
	}
	return text.String()
}

// text returns the content; a list of content parts is returned as JSON.
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

// estimateTokens returns the number of tokens of a text, rounded up.
func estimateTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}
