package api

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/jsonvalue"
)

// chunk is a chat.completion.chunk of the OpenAI API.
type chunk struct {
	// fields are all its fields by name.
	fields map[string]json.RawMessage
	// choices and created are decoded from them.
	choices []chunkChoice
	created int64
}

type chunkChoice struct {
	Index int `json:"index"`
	// Delta holds all fields of the delta by name: engines have kinds of output that the API doesn't name.
	Delta        map[string]json.RawMessage `json:"delta"`
	LogProbs     json.RawMessage            `json:"logprobs,omitempty"`
	FinishReason *string                    `json:"finish_reason"`
}

// toolCallDelta is a part of a tool call; parts with the same index belong together.
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

// decodeChunk decodes a chunk. It returns dispatch.ErrInvalidChunk if that fails.
func decodeChunk(data []byte) (chunk, error) {
	var c chunk
	if err := json.Unmarshal(data, &c.fields); err != nil {
		return chunk{}, errors.Wrap(dispatch.ErrInvalidChunk, err.Error())
	}
	if c.fields == nil {
		return chunk{}, errors.Wrap(dispatch.ErrInvalidChunk, "not an object")
	}
	if err := errors.Join(decodeField(c.fields["choices"], &c.choices), decodeField(c.fields["created"], &c.created)); err != nil {
		return chunk{}, err
	}
	return c, nil
}

// decodeField decodes the value of a field into result, which stays as it is if the field is missing. It
// returns dispatch.ErrInvalidChunk if that fails.
func decodeField(value json.RawMessage, result any) error {
	if len(value) == 0 {
		return nil
	}
	if err := json.Unmarshal(value, result); err != nil {
		return errors.Wrap(dispatch.ErrInvalidChunk, err.Error())
	}
	return nil
}

// isRoleOnly reports whether the chunk carries the role and nothing else, as the first
// chunk of each run does.
func (c *chunk) isRoleOnly() bool {
	if !jsonvalue.IsNull(c.fields["usage"]) {
		return false
	}
	for _, choice := range c.choices {
		if choice.FinishReason != nil {
			return false
		}
		for name, value := range choice.Delta {
			if name != "role" && !jsonvalue.IsEmpty(value) {
				return false
			}
		}
	}
	return len(c.choices) > 0
}

func (c *chunk) isUsageOnly() bool { return len(c.choices) == 0 }
