package api

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
)

// completion is a chat.completion of OpenAI's API.
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

// maxChoices bounds the choices of one answer.
const maxChoices = 128

// wholeAnswer collects the chunks and sends the answer when it is whole, so
// that a cut answer can be resumed without the caller's seeing anything.
type wholeAnswer struct {
	w        http.ResponseWriter
	result   completion
	contents []strings.Builder
}

func newWholeAnswer(w http.ResponseWriter, id, model string) *wholeAnswer {
	return &wholeAnswer{w: w, result: completion{ID: "chatcmpl-" + id, Object: "chat.completion", Model: model}}
}

func (s *wholeAnswer) begun() bool { return false }

// Frame adds one chunk.
func (s *wholeAnswer) Frame(f wire.Frame) error {
	var c chunk
	if err := json.Unmarshal(f.Data, &c); err != nil {
		return errors.Wrap(err, "decode chunk")
	}
	if s.result.Created == 0 {
		s.result.Created = c.Created
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		s.result.Usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.Index < 0 || choice.Index >= maxChoices {
			return errors.New("choice index is out of range")
		}
		s.add(choice)
	}
	return nil
}

func (s *wholeAnswer) add(c chunkChoice) {
	for len(s.result.Choices) <= c.Index {
		index := len(s.result.Choices)
		s.result.Choices = append(s.result.Choices, completionChoice{Index: index, Message: message{Role: "assistant"}})
		s.contents = append(s.contents, strings.Builder{})
	}
	choice := &s.result.Choices[c.Index]
	if c.FinishReason != nil {
		choice.FinishReason = c.FinishReason
	}
	if c.Delta.Content != nil {
		s.contents[c.Index].WriteString(*c.Delta.Content)
	}
	if c.Delta.Refusal != nil {
		choice.Message.Refusal = c.Delta.Refusal
	}
	for _, call := range c.Delta.ToolCalls {
		choice.Message.addToolCall(call)
	}
}

// addToolCall joins the pieces of a call that came in several chunks.
func (m *message) addToolCall(d toolCallDelta) {
	for i := range m.ToolCalls {
		if m.ToolCalls[i].Index == d.Index {
			m.ToolCalls[i].Function.Arguments += d.Function.Arguments
			return
		}
	}
	m.ToolCalls = append(m.ToolCalls, d)
}

func (s *wholeAnswer) finish() {
	for i := range s.result.Choices {
		s.result.Choices[i].Message.Content = s.contents[i].String()
	}
	data, err := json.Marshal(s.result)
	if err != nil {
		writeError(s.w, problem{status: http.StatusInternalServerError, code: "internal", message: "the answer could not be encoded"})
		return
	}
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	s.w.Header().Set("Content-Type", "application/json")
	_, _ = s.w.Write(data)
}

// fail is never reached, since nothing is sent before the end.
func (s *wholeAnswer) fail(problem) {}
