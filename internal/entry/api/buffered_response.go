package api

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/jsonvalue"
	"github.com/applepier/applepier/internal/wire"
)

// completion is a chat.completion of the OpenAI API.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`

	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	ServiceTier       json.RawMessage `json:"service_tier,omitempty"`
}

type completionChoice struct {
	Index        int             `json:"index"`
	Message      message         `json:"message"`
	LogProbs     json.RawMessage `json:"logprobs,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

type message struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	Refusal   *string         `json:"refusal"`
	ToolCalls []toolCallDelta `json:"tool_calls,omitempty"`
	// other are the fields of the deltas that this package doesn't read.
	other jsonvalue.Fields
}

// MarshalJSON encodes the message with its other fields.
func (m message) MarshalJSON() ([]byte, error) {
	type fields message
	data, err := json.Marshal(fields(m))
	if err != nil || len(m.other) == 0 {
		return data, err
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	maps.Copy(all, m.other.Join())
	return json.Marshal(all)
}

// maxChoices limits the choices of one response.
const maxChoices = 128

// bufferedResponse collects all chunks and sends the response when it is complete, so
// that an interrupted run can be resumed without the caller noticing.
type bufferedResponse struct {
	w          http.ResponseWriter
	completion completion
	// contents and logProbs hold, by choice, the parts received so far.
	contents []strings.Builder
	logProbs [][]json.RawMessage
}

func newBufferedResponse(w http.ResponseWriter, id, model string) *bufferedResponse {
	return &bufferedResponse{w: w, completion: completion{ID: "chatcmpl-" + id, Object: "chat.completion", Model: model}}
}

func (b *bufferedResponse) started() bool { return false }

// WriteFrame adds one chunk to the response. It returns dispatch.ErrInvalidChunk for a chunk
// that can't be decoded or has a choice index out of range.
func (b *bufferedResponse) WriteFrame(f wire.Frame) error {
	c, err := decodeChunk(f.Data)
	if err != nil {
		return err
	}
	if b.completion.Created == 0 {
		b.completion.Created = c.created
	}
	if value := c.fields["usage"]; !jsonvalue.IsNull(value) {
		b.completion.Usage = value
	}
	if value := c.fields["system_fingerprint"]; !jsonvalue.IsNull(value) {
		b.completion.SystemFingerprint = value
	}
	if value := c.fields["service_tier"]; !jsonvalue.IsNull(value) {
		b.completion.ServiceTier = value
	}
	for _, choice := range c.choices {
		if choice.Index < 0 || choice.Index >= maxChoices {
			return errors.Wrapf(dispatch.ErrInvalidChunk, "choice index %d is out of range [0, %d)", choice.Index, maxChoices)
		}
	}
	for _, choice := range c.choices {
		if err := b.addChoice(choice); err != nil {
			return err
		}
	}
	return nil
}

// addChoice adds a choice of a chunk. It returns dispatch.ErrInvalidChunk if a field of its delta can't be
// decoded.
func (b *bufferedResponse) addChoice(c chunkChoice) error {
	var content string
	var refusal *string
	var toolCalls []toolCallDelta
	if err := errors.Join(decodeField(c.Delta["content"], &content), decodeField(c.Delta["refusal"], &refusal), decodeField(c.Delta["tool_calls"], &toolCalls)); err != nil {
		return err
	}
	for _, read := range []string{"role", "content", "refusal", "tool_calls"} {
		delete(c.Delta, read)
	}
	for len(b.completion.Choices) <= c.Index {
		index := len(b.completion.Choices)
		b.completion.Choices = append(b.completion.Choices, completionChoice{Index: index, Message: message{Role: "assistant", other: jsonvalue.Fields{}}})
		b.contents = append(b.contents, strings.Builder{})
		b.logProbs = append(b.logProbs, nil)
	}
	choice := &b.completion.Choices[c.Index]
	if c.FinishReason != nil {
		choice.FinishReason = c.FinishReason
	}
	b.contents[c.Index].WriteString(content)
	if refusal != nil {
		joined := *refusal
		if choice.Message.Refusal != nil {
			joined = *choice.Message.Refusal + joined
		}
		choice.Message.Refusal = &joined
	}
	b.logProbs[c.Index] = append(b.logProbs[c.Index], c.LogProbs)
	choice.Message.other.Add(c.Delta)
	for _, call := range toolCalls {
		choice.Message.addToolCallDelta(call)
	}
	return nil
}

// addToolCallDelta appends the arguments in d to the tool call of the same index, or adds
// a new tool call.
func (m *message) addToolCallDelta(d toolCallDelta) {
	for i := range m.ToolCalls {
		if m.ToolCalls[i].Index == d.Index {
			m.ToolCalls[i].Function.Arguments += d.Function.Arguments
			return
		}
	}
	m.ToolCalls = append(m.ToolCalls, d)
}

func (b *bufferedResponse) finish() {
	for i := range b.completion.Choices {
		b.completion.Choices[i].Message.Content = b.contents[i].String()
		b.completion.Choices[i].LogProbs = jsonvalue.Join(b.logProbs[i])
	}
	data, err := json.Marshal(b.completion)
	if err != nil {
		writeError(b.w, apiError{status: http.StatusInternalServerError, code: "internal", message: "the answer could not be encoded"})
		return
	}
	_ = http.NewResponseController(b.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	b.w.Header().Set("Content-Type", "application/json")
	_, _ = b.w.Write(data)
}

// fail is never called, because nothing is sent before finish.
func (b *bufferedResponse) fail(apiError) {}
