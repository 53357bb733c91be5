package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/ids"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
)

const (
	// bytesPerToken turns a prompt's length into an estimate of its tokens.
	bytesPerToken = 4
	// defaultAnswer is the estimated answer in tokens where the caller sets no
	// bound; nobody knows it in advance.
	defaultAnswer = 256
	// prefixBytes is how much of the messages the prefix hash covers: long
	// enough to tell system prompts apart, short enough to be shared.
	prefixBytes = 1024
)

// chatRequest is what the router reads of a chat completion request; all else
// goes to the engine as it came.
type chatRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chat serves POST /v1/chat/completions.
func (a *API) chat(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	set := a.config.Holder.Current()
	customer, ok := a.authenticate(w, r, set)
	if !ok {
		return
	}
	bound := boundOfNamed(set, r.Header.Get(HeaderClass))
	body, ok := a.readBody(w, r, bound)
	if !ok {
		return
	}
	defer body.release()
	chat, p := parseChat(body.data)
	if p != nil {
		writeError(w, *p)
		return
	}
	class, p := a.classOf(set, r.Header.Get(HeaderClass), chat.Model)
	if p != nil {
		writeError(w, *p)
		return
	}
	if bound > boundOf(class) && !a.held.within(boundOf(class)) {
		a.config.Observer.Refused(class.Name, reasonBodiesFull)
		writeError(w, notRun(reasonBodiesFull, busyRetryAfter))
		return
	}
	req := a.newRequest(class, customer, arrived)
	req.Serves = chat.Model
	req.Size = chat.size()
	req.Prefix = chat.prefix()
	req.Body = body.data
	chat.Messages = nil // a copy of most of the body
	a.carry(w, r, req, func(w http.ResponseWriter) answer {
		if chat.Stream {
			return newStreamAnswer(w, req.ID, chat.StreamOptions.IncludeUsage)
		}
		return newWholeAnswer(w, req.ID, chat.Model)
	})
}

func (a *API) newRequest(class targets.Class, customer string, arrived time.Time) *dispatch.Request {
	req := &dispatch.Request{
		ID:         ids.New(),
		Class:      class,
		Customer:   customer,
		Arrived:    arrived,
		Repeatable: class.Repeatable,
	}
	a.config.Observer.Received(class.Name)
	a.config.Ring.Record(timeline.KindReceived, req.ID, class.Name, customer)
	return req
}

func parseChat(body []byte) (chatRequest, *problem) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		p := badRequest("malformed_body", "", "the body is not a chat completion request: "+err.Error())
		return chat, &p
	}
	if chat.Model == "" {
		p := badRequest("missing_field", "model", "model is required")
		return chat, &p
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(chat.Messages, &messages); err != nil || len(messages) == 0 {
		p := badRequest("missing_field", "messages", "messages is required: a list with at least one message")
		return chat, &p
	}
	return chat, nil
}

// size estimates the work in tokens.
func (c *chatRequest) size() int {
	answer := defaultAnswer
	if c.MaxTokens > 0 {
		answer = c.MaxTokens
	}
	if c.MaxCompletionTokens > 0 {
		answer = c.MaxCompletionTokens
	}
	return len(c.Messages)/bytesPerToken + answer
}

func (c *chatRequest) prefix() uint64 {
	return xxhash.Sum64(c.Messages[:min(len(c.Messages), prefixBytes)])
}
