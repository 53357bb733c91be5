package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/applepier/applepier/testbed/knobs"
)

// chunk is a chat.completion.chunk object of the OpenAI API.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// finishReasonStop is the finish_reason of a complete response.
var finishStop = "stop"

// chunkWriter writes chunks to a response as server-sent events.
type chunkWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	chunk   chunk
	buffer  bytes.Buffer
}

func newChunkWriter(w http.ResponseWriter, model, run string) *chunkWriter {
	return &chunkWriter{
		w:       w,
		control: http.NewResponseController(w),
		chunk: chunk{
			ID: "chatcmpl-" + run, Object: "chat.completion.chunk",
			Created: time.Now().Unix(), Model: model,
		},
	}
}

// start writes the headers and a chunk with the assistant role.
func (c *chunkWriter) open() error {
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-store")
	return c.send([]choice{{Delta: delta{Role: "assistant"}}}, nil)
}

// writeToken writes a chunk with one token.
func (c *chunkWriter) token(text string) error {
	return c.send([]choice{{Delta: delta{Content: text}}}, nil)
}

// finish writes the finish reason, the usage and the final [DONE] event.
func (c *chunkWriter) end(promptTokens, answerTokens int) error {
	if err := c.send([]choice{{FinishReason: &finishStop}}, nil); err != nil {
		return err
	}
	total := usage{PromptTokens: promptTokens, CompletionTokens: answerTokens, TotalTokens: promptTokens + answerTokens}
	if err := c.send([]choice{}, &total); err != nil {
		return err
	}
	return c.write([]byte("[DONE]"))
}

func (c *chunkWriter) send(choices []choice, total *usage) error {
	next := c.chunk
	next.Choices = choices
	next.Usage = total
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	return c.write(data)
}

func (c *chunkWriter) write(data []byte) error {
	c.buffer.Reset()
	c.buffer.WriteString("data: ")
	c.buffer.Write(data)
	c.buffer.WriteString("\n\n")
	if _, err := c.w.Write(c.buffer.Bytes()); err != nil {
		return err
	}
	return c.control.Flush()
}

// errorBody is an error response of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	knobs.WriteJSON(w, errorBody{Error: errorDetail{Message: message, Type: "invalid_request_error"}})
}
