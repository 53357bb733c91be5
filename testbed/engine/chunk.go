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

// choice is an element of a chunk's choices. FinishReason is nil until the response is complete.
type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// delta is the part of the response that a chunk adds.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// usage holds the token counts of a request and its response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// finishReasonStop is the finish_reason of a complete response.
var finishReasonStop = "stop"

// chunkWriter writes chunks to a response as server-sent events.
type chunkWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	template   chunk
	event      bytes.Buffer
}

func newChunkWriter(w http.ResponseWriter, model, runID string) *chunkWriter {
	return &chunkWriter{
		w:          w,
		controller: http.NewResponseController(w),
		template: chunk{
			ID: "chatcmpl-" + runID, Object: "chat.completion.chunk",
			Created: time.Now().Unix(), Model: model,
		},
	}
}

// start writes the headers and a chunk with the assistant role.
func (c *chunkWriter) start() error {
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-store")
	return c.writeChunk([]choice{{Delta: delta{Role: "assistant"}}}, nil)
}

// writeToken writes a chunk with one token.
func (c *chunkWriter) writeToken(text string) error {
	return c.writeChunk([]choice{{Delta: delta{Content: text}}}, nil)
}

// finish writes the finish reason, the usage and the final [DONE] event.
func (c *chunkWriter) finish(promptTokens, completionTokens int) error {
	if err := c.writeChunk([]choice{{FinishReason: &finishReasonStop}}, nil); err != nil {
		return err
	}
	tokenUsage := usage{PromptTokens: promptTokens, CompletionTokens: completionTokens, TotalTokens: promptTokens + completionTokens}
	if err := c.writeChunk([]choice{}, &tokenUsage); err != nil {
		return err
	}
	return c.writeEvent([]byte("[DONE]"))
}

func (c *chunkWriter) writeChunk(choices []choice, tokenUsage *usage) error {
	filled := c.template
	filled.Choices = choices
	filled.Usage = tokenUsage
	data, err := json.Marshal(filled)
	if err != nil {
		return err
	}
	return c.writeEvent(data)
}

// writeEvent writes one server-sent event and flushes it.
func (c *chunkWriter) writeEvent(data []byte) error {
	c.event.Reset()
	c.event.WriteString("data: ")
	c.event.Write(data)
	c.event.WriteString("\n\n")
	if _, err := c.w.Write(c.event.Bytes()); err != nil {
		return err
	}
	return c.controller.Flush()
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
