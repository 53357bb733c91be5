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

// callerLimit is how long a caller waits for an end. It is far above every
// bound of the product, so that a call without an end is a fault.
const callerLimit = 60 * time.Second

// Headers of the callers' API.
const (
	headerClass      = "X-Applepier-Class"
	headerCustomer   = "X-Applepier-Customer"
	headerKey        = "Idempotency-Key"
	headerOutcome    = "X-Applepier-Outcome"
	headerRequest    = "X-Request-Id"
	headerRetryAfter = "Retry-After"
)

// ask is one request that a caller makes.
type ask struct {
	class    string
	model    string // the usual one when empty
	marker   string
	key      string
	customer string
	tokens   int
	whole    bool // not streamed
	probe    bool
	within   time.Duration // see history.Call
}

// chatBody is the request's body.
type chatBody struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
	// MaxTokens is the length of the stand-in's answer.
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

func (a ask) serves() string {
	if a.model == "" {
		return model
	}
	return a.model
}

func (a ask) body() ([]byte, error) {
	return json.Marshal(chatBody{
		Model:     a.serves(),
		Stream:    !a.whole,
		Messages:  []chatMessage{{Role: "user", Content: "work " + a.marker}},
		MaxTokens: a.tokens,
		Metadata:  chatMetadata{Marker: a.marker, AnswerTokens: strconv.Itoa(a.tokens)},
	})
}

// callers makes connections anew for each call: a kept connection that its
// entry has closed would fail a call for a reason that is not looked at here.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send makes the request at an entry and returns the caller's side of it.
func (a ask) send(ctx context.Context, entry *fleet.Entry) history.Call {
	class := classOf(a.class)
	call := history.Call{
		Marker:         a.marker,
		Entry:          entry.Name,
		Class:          a.class,
		Tier:           class.Tier,
		Customer:       a.customer,
		IdempotencyKey: a.key,
		Serves:         a.serves(),
		Repeatable:     class.Repeatable,
		Probe:          a.probe,
		Within:         a.within,
		Sent:           time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, callerLimit)
	defer cancel()
	if err := a.exchange(ctx, entry, &call); err != nil {
		call.Told, call.Detail = toldByError(ctx, err), err.Error()
	}
	call.Done = time.Now()
	return call
}

// toldByError says what a caller knows whose connection failed.
func toldByError(ctx context.Context, err error) history.Told {
	var dial *net.OpError
	switch {
	case ctx.Err() != nil:
		return history.ToldNothing
	case errors.As(err, &dial) && dial.Op == "dial":
		return history.ToldNotRun
	}
	return history.ToldFailed
}

func (a ask) exchange(ctx context.Context, entry *fleet.Entry, call *history.Call) error {
	body, err := a.body()
	if err != nil {
		return err
	}
	call.Expected = engine.AnswerText(body)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.URL+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerClass, a.class)
	request.Header.Set(headerCustomer, a.customer)
	if a.key != "" {
		request.Header.Set(headerKey, a.key)
	}
	response, err := callers.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	call.Status = response.StatusCode
	call.RequestID = response.Header.Get(headerRequest)
	if response.StatusCode != http.StatusOK {
		return readRefusal(response, call)
	}
	if a.whole {
		return readWhole(response, call)
	}
	return readStream(response, call)
}
