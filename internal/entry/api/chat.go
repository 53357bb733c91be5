package api

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/ids"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
)

const (
	// bytesPerToken converts the length of a prompt into an estimated number of tokens.
	bytesPerToken = 4
	// defaultCompletionTokens is the estimated completion length of a request without a
	// token limit. The real length isn't known in advance.
	defaultCompletionTokens = 256
	// prefixHashBytes is the length of the beginning of the messages that the prefix hash
	// covers: enough to distinguish system prompts, and little enough that requests with
	// the same system prompt have the same hash.
	prefixHashBytes = 1024
)

// chatRequest holds the fields of a chat completion request that the entry reads. The
// request is forwarded to the backend server unchanged.
type chatRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	// The engine checks these fields; they are decoded by mayBeUncounted.
	N         json.RawMessage `json:"n"`
	Tools     json.RawMessage `json:"tools"`
	Functions json.RawMessage `json:"functions"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chat handles POST /v1/chat/completions.
func (a *API) chat(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	set := a.config.Targets.Current()
	customer, ok := a.authenticate(w, r, set)
	if !ok {
		return
	}
	memoryLimit := bodyMemoryLimitByName(set, r.Header.Get(HeaderClass))
	body, ok := a.readBody(w, r, memoryLimit)
	if !ok {
		return
	}
	defer body.release()
	chat, apiErr := parseChatRequest(body.data)
	if apiErr != nil {
		a.refuse(w, r, *apiErr)
		return
	}
	class, apiErr := a.findClass(set, r.Header.Get(HeaderClass), chat.Model)
	if apiErr != nil {
		a.refuse(w, r, *apiErr)
		return
	}
	// The class was not known when the body was read; its memory limit may be lower than
	// the one that was applied then.
	if memoryLimit > bodyMemoryLimit(class) && !a.bodyBudget.within(bodyMemoryLimit(class)) {
		a.config.Observer.RequestRefused(class.Name, reasonBodiesFull)
		writeError(w, notRunError(reasonBodiesFull, busyRetryAfter))
		return
	}
	req := a.newRequest(class, customer, arrived)
	req.Serves = chat.Model
	req.EstimatedTokens = chat.estimateTokens()
	req.PrefixHash = chat.prefixHash()
	req.MayBeUncounted = chat.mayBeUncounted()
	req.Body = body.data
	chat.Messages = nil // frees a copy of most of the body
	a.dispatchRequest(w, r, req, func(w http.ResponseWriter) response {
		if chat.Stream {
			return newStreamResponse(w, req.ID, chat.StreamOptions.IncludeUsage)
		}
		return newBufferedResponse(w, req.ID, chat.Model)
	})
}

// newRequest returns a request with a new ID and records that it was received.
func (a *API) newRequest(class targets.Class, customer string, arrived time.Time) *dispatch.Request {
	req := &dispatch.Request{
		ID:         ids.New(),
		Class:      class,
		Customer:   customer,
		Arrived:    arrived,
		Repeatable: class.Repeatable,
	}
	a.config.Observer.RequestReceived(class.Name)
	a.config.Timeline.Record(timeline.KindReceived, req.ID, class.Name, customer)
	return req
}

// mayBeUncounted reports whether the response may hold tool calls or several choices, which can't be
// resumed.
func (c *chatRequest) mayBeUncounted() bool {
	isSet := func(field json.RawMessage, empty ...string) bool {
		return len(field) > 0 && !slices.Contains(append(empty, "null"), string(field))
	}
	return isSet(c.Tools, "[]") || isSet(c.Functions, "[]") || isSet(c.N, "1")
}

func parseChatRequest(body []byte) (chatRequest, *apiError) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		e := badRequestError("malformed_body", "", "the body is not a chat completion request: "+err.Error())
		return chat, &e
	}
	if chat.Model == "" {
		e := badRequestError("missing_field", "model", "model is required")
		return chat, &e
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(chat.Messages, &messages); err != nil || len(messages) == 0 {
		e := badRequestError("missing_field", "messages", "messages is required: a list with at least one message")
		return chat, &e
	}
	return chat, nil
}

// estimateTokens estimates the prompt and completion tokens of the request.
func (c *chatRequest) estimateTokens() int {
	completionTokens := defaultCompletionTokens
	if c.MaxTokens > 0 {
		completionTokens = c.MaxTokens
	}
	if c.MaxCompletionTokens > 0 {
		completionTokens = c.MaxCompletionTokens
	}
	return len(c.Messages)/bytesPerToken + completionTokens
}

func (c *chatRequest) prefixHash() uint64 {
	return xxhash.Sum64(c.Messages[:min(len(c.Messages), prefixHashBytes)])
}
