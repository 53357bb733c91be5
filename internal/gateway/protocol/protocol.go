// Package protocol is what a gateway needs of the HTTP dialect that callers
// and backend servers speak: which headers hold what. The dialect itself is an
// adapter's. Start reading at Dialect.
package protocol

import (
	"net/http"
	"time"

	"github.com/applepier/applepier/policy"
)

// Levels is how many levels of urgency backend servers tell apart.
const Levels = policy.UrgencyLevels

// Part is one part of a request's prompt.
type Part struct {
	// ID is the part's hash.
	ID uint64
	// Tokens is its length.
	Tokens int
}

// Ask is what a caller's request says of itself.
type Ask struct {
	// ID identifies this request; empty when it has none.
	ID string
	// Key is the caller's API key; empty when it sent none.
	Key string
	// Patience is how long the caller waits; 0 when it doesn't say.
	Patience time.Duration
	// After is the id of the last event that the caller has; empty when it
	// asks for the whole stream.
	After string
	// PromptTokens is the prompt's length; 0 where the request doesn't say.
	PromptTokens int
	// Parts are the prompt's parts in order; the last one is the request's or
	// its session's own, those before are shared.
	Parts []Part
}

// Send is what a gateway tells a backend server about one attempt.
type Send struct {
	// Instance is the start of the backend server that is meant.
	Instance string
	// Customer is whose key the caller showed; empty where none is needed.
	Customer string
	// Urgency is from 0, the most urgent, to below Levels.
	Urgency int
	// Left is how long the backend server may work on it.
	Left time.Duration
	// After is the id of the last event that the caller has.
	After string
	// FetchFrom is the address of the backend server from which this one is to
	// fetch what that has read of the prompt; empty for none.
	FetchFrom string
}

// Reply is what the head of a backend server's answer says.
type Reply struct {
	// ID is the request that it answers.
	ID string
	// Signed says that it bears the signature that callers need.
	Signed bool
	// NotRun says that the request didn't run and won't.
	NotRun bool
	// OtherServer says that another start than the one that was meant answers
	// at the address.
	OtherServer bool
	// Limit is how many requests the backend server takes.
	Limit Limit
	// Encoded says that the body isn't the backend server's own bytes.
	Encoded bool
}

// Limit is how many requests a backend server takes from all gateways together.
type Limit struct {
	// Rate is in requests a second; it means something only if Named.
	Rate  float64
	Named bool
	// Unreadable says that there is one which is no such number.
	Unreadable bool
}

// Dialect reads and writes the headers.
type Dialect interface {
	// Ask reads a caller's request.
	Ask(r *http.Request) Ask
	// Request returns the headers of an attempt: the caller's, less those
	// that concern one connection, the key and what only a gateway may set.
	Request(caller http.Header, send Send) http.Header
	// Reply reads the head of an answer.
	Reply(status int, h http.Header) Reply
	// Answer returns the headers of an answer for the caller: the backend
	// server's, less those that concern one connection.
	Answer(backend http.Header) http.Header
}
