package api

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/entry/dispatch"
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
}

type completionChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

type message struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	Refusal   *string         `json:"refusal"`
	ToolCalls []toolCallDelta `json:"tool_calls,omitempty"`
}

// maxChoices limits the choices of one response.
const maxChoices = 128

// bufferedResponse collects all chunks and sends the response when it is complete, so
// that an interrupted run can be resumed without the caller noticing.
type bufferedResponse struct {
	w          http.ResponseWriter
	completion completion
	contents   []strings.Builder
}

func newBufferedResponse(w http.ResponseWriter, id, model string) *bufferedResponse {
	return &bufferedResponse{w: w, completion: completion{ID: "chatcmpl-" + id, Object: "chat.completion", Model: model}}
}

func (b *bufferedResponse) started() bool { return false }

// WriteFrame adds one chunk to the response. It returns dispatch.ErrInvalidChunk for a chunk
// that can't be decoded or has a choice index out of range.
func (b *bufferedResponse) WriteFrame(f wire.Frame) error {
	var c chunk
	if err := json.Unmarshal(f.Data, &c); err != nil {
		return errors.Wrap(dispatch.ErrInvalidChunk, err.Error())
	}
	if b.completion.Created == 0 {
		b.completion.Created = c.Created
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		b.completion.Usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.Index < 0 || choice.Index >= maxChoices {
			return errors.Wrapf(dispatch.ErrInvalidChunk, "choice index %d is out of range [0, %d)", choice.Index, maxChoices)
		}
	}
	for _, choice := range c.Choices {
		b.addChoice(choice)
	}
	return nil
}

func (b *bufferedResponse) addChoice(c chunkChoice) {
	for len(b.completion.Choices) <= c.Index {
		index := len(b.completion.Choices)
		b.completion.Choices = append(b.completion.Choices, completionChoice{Index: index, Message: message{Role: "assistant"}})
		b.contents = append(b.contents, strings.Builder{})
	}
	choice := &b.completion.Choices[c.Index]
	if c.FinishReason != nil {
		choice.FinishReason = c.FinishReason
	}
	if c.Delta.Content != nil {
		b.contents[c.Index].WriteString(*c.Delta.Content)
	}
	if c.Delta.Refusal != nil {
		joined := *c.Delta.Refusal
		if choice.Message.Refusal != nil {
			joined = *choice.Message.Refusal + joined
		}
		choice.Message.Refusal = &joined
	}
	for _, call := range c.Delta.ToolCalls {
		choice.Message.addToolCallDelta(call)
	}
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
