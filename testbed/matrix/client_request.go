package matrix

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

// callTimeout is how long a caller waits for a call to end. It is far above
// every timeout of the system, so a call that reaches it violates GuaranteeServed.
const callTimeout = 60 * time.Second

// Headers of the public API.
const (
	headerClass      = "X-Applepier-Class"
	headerCustomer   = "X-Applepier-Customer"
	headerKey        = "Idempotency-Key"
	headerOutcome    = "X-Applepier-Outcome"
	headerRequest    = "X-Request-Id"
	headerRetryAfter = "Retry-After"
)

// callerRequest is one request that a caller sends.
type callerRequest struct {
	class       string
	model       string // the default model if empty
	marker      string // see history.Call
	key         string // idempotency key; none if empty
	customer    string
	tokens      int // length of the response
	unstreamed  bool
	probe       bool
	maxDuration time.Duration // longest allowed duration, see history.Call
}

// chatBody is the body of a chat completion request.
type chatBody struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
	// MaxTokens is the length of the stand-in engine's response, in tokens.
	MaxTokens int          `json:"max_tokens"`
	Metadata  chatMetadata `json:"metadata"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatMetadata struct {
	Marker       string `json:"marker"`
	AnswerTokens string `json:"answer_tokens"`
}

func (c callerRequest) modelName() string {
	if c.model == "" {
		return model
	}
	return c.model
}

func (c callerRequest) body() ([]byte, error) {
	return json.Marshal(chatBody{
		Model:     c.modelName(),
		Stream:    !c.unstreamed,
		Messages:  []chatMessage{{Role: "user", Content: "work " + c.marker}},
		MaxTokens: c.tokens,
		Metadata:  chatMetadata{Marker: c.marker, AnswerTokens: strconv.Itoa(c.tokens)},
	})
}

// httpClient opens a new connection for each call. A call on a kept-alive
// connection that the entry has closed would fail for a reason that the matrix
// does not test.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends the request to an entry and returns the call as the caller saw it.
func (c callerRequest) send(ctx context.Context, entry *fleet.Entry) history.Call {
	class := classByName(c.class)
	call := history.Call{
		Marker:         c.marker,
		Entry:          entry.Name,
		Class:          c.class,
		Tier:           class.Tier,
		Customer:       c.customer,
		IdempotencyKey: c.key,
		Service:        c.modelName(),
		Repeatable:     class.Repeatable,
		Probe:          c.probe,
		MaxDuration:    c.maxDuration,
		Sent:           time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.do(ctx, entry, &call); err != nil {
		call.Outcome, call.Detail = outcomeOfError(ctx, err), err.Error()
	}
	call.Done = time.Now()
	return call
}

// outcomeOfError returns the outcome of a call that failed with err: OutcomeNone if
// ctx has ended, OutcomeNotRun if no connection could be opened, and OutcomeFailed
// otherwise.
func outcomeOfError(ctx context.Context, err error) history.Outcome {
	var opErr *net.OpError
	switch {
	case ctx.Err() != nil:
		return history.OutcomeNone
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return history.OutcomeNotRun
	}
	return history.OutcomeFailed
}

func (c callerRequest) do(ctx context.Context, entry *fleet.Entry, call *history.Call) error {
	body, err := c.body()
	if err != nil {
		return err
	}
	call.Expected = engine.ResponseText(body)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.URL+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerClass, c.class)
	request.Header.Set(headerCustomer, c.customer)
	if c.key != "" {
		request.Header.Set(headerKey, c.key)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	call.Status = response.StatusCode
	call.RequestID = response.Header.Get(headerRequest)
	if response.StatusCode != http.StatusOK {
		return readErrorResponse(response, call)
	}
	if c.unstreamed {
		return readComplete(response, call)
	}
	return readStream(response, call)
}
