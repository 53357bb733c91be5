package api

import "encoding/json"

// chunk is a chat.completion.chunk of the OpenAI API. Usage, log probabilities, service
// tier and system fingerprint are kept as raw JSON.
type chunk struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	ServiceTier       json.RawMessage `json:"service_tier,omitempty"`
	Choices           []chunkChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        delta           `json:"delta"`
	LogProbs     json.RawMessage `json:"logprobs,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

type delta struct {
	Role      string          `json:"role,omitempty"`
	Content   *string         `json:"content,omitempty"`
	Refusal   *string         `json:"refusal,omitempty"`
	ToolCalls []toolCallDelta `json:"tool_calls,omitempty"`
}

type toolCallDelta struct {
	Index    int           `json:"index"`
	ID       string        `json:"id,omitempty"`
	Type     string        `json:"type,omitempty"`
	Function functionDelta `json:"function"`
}

type functionDelta struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// isRoleOnly reports whether the chunk carries the role and nothing else, as the first
// chunk of each run does.
func (c *chunk) isRoleOnly() bool {
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		return false
	}
	for _, choice := range c.Choices {
		d := choice.Delta
		if choice.FinishReason != nil || len(d.ToolCalls) > 0 || d.Refusal != nil {
			return false
		}
		if d.Content != nil && *d.Content != "" {
			return false
		}
	}
	return len(c.Choices) > 0
}

func (c *chunk) isUsageOnly() bool { return len(c.Choices) == 0 }
