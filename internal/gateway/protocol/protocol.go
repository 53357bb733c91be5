// Package protocol defines the information that a gateway reads from and writes to the HTTP headers
// of callers and backend servers. The header names are those of a Dialect, which an adapter
// implements. Start reading at Dialect.
package protocol

import (
	"net/http"
	"time"

	"github.com/applepier/applepier/policy"
)

// UrgencyLevels is the number of urgency levels that backend servers distinguish.
const UrgencyLevels = policy.UrgencyLevels

// PromptSegment is one segment of a request's prompt.
type PromptSegment struct {
	// ID is the hash of the segment.
	ID uint64
	// Tokens is the length of the segment in tokens.
	Tokens int
}

// RequestInfo is the information in the header of a caller's request.
type RequestInfo struct {
	// ID identifies the request; empty if it has none.
	ID string
	// Key is the caller's API key; empty if it sent none.
	Key string
	// Timeout is how long the caller waits for the response; 0 if unspecified.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller has received; empty if it asks for
	// the complete stream.
	LastEventID string
	// ResumesID is the ID of the caller's earlier request that brought the first event of the
	// stream of which LastEventID is a part; empty if the caller doesn't name it.
	ResumesID string
	// PromptTokens is the length of the prompt in tokens; 0 if unspecified.
	PromptTokens int
	// PromptSegments are the segments of the prompt in order. The last one belongs to the request
	// or its session; those before it are shared.
	PromptSegments []PromptSegment
}

// AttemptInfo is the information that a gateway sends to a backend server with one attempt to run a
// request.
type AttemptInfo struct {
	// ServerID identifies the backend server that the attempt is meant for.
	ServerID string
	// Customer is the owner of the caller's API key; empty if none is required.
	Customer string
	// Urgency ranges from 0, the most urgent, to UrgencyLevels-1.
	Urgency int
	// Timeout is how long the backend server may work on the attempt.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller has received.
	LastEventID string
	// FetchFrom is the address of the backend server from which this one should fetch the KV cache
	// of the part of the prompt that has already been prefilled there; empty for none.
	FetchFrom string
}

// ResponseInfo is the information in the header of a backend server's response.
type ResponseInfo struct {
	// ID identifies the request that the response belongs to.
	ID string
	// Signed is set if the response has the signature that callers need.
	Signed bool
	// NotExecuted is set if the request didn't run and won't.
	NotExecuted bool
	// OtherInstance is set if the response comes from another instance than the one that the attempt
	// was meant for, at the same address.
	OtherInstance bool
	// Limit is the backend server's request rate limit.
	Limit RateLimit
	// Draining is set if the backend server says that it drains.
	Draining bool
	// Backoff is how long this gateway is to send the backend server no more requests; 0 if the
	// server doesn't say.
	Backoff time.Duration
	// ContentEncoded is set if the body has a content encoding, so that its bytes aren't those that
	// the backend server produced.
	ContentEncoded bool
}

// RateLimit is the request rate that a backend server accepts from all gateways together.
type RateLimit struct {
	// Rate is in requests per second; it is valid only if Present is set.
	Rate    float64
	Present bool
	// Invalid is set if the header holds a limit that isn't a valid rate.
	Invalid bool
}

// Dialect reads and writes the headers of callers and backend servers.
type Dialect interface {
	// ParseRequest reads the header of a caller's request.
	ParseRequest(r *http.Request) RequestInfo
	// AttemptHeaders returns the headers of an attempt: the caller's headers without the hop-by-hop
	// headers, the API key and those that only a gateway may set.
	AttemptHeaders(callerHeader http.Header, attempt AttemptInfo) http.Header
	// ParseResponse reads the header of a backend server's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// CallerHeaders returns the headers of a response for the caller: the backend server's headers
	// without the hop-by-hop headers.
	CallerHeaders(backendHeader http.Header) http.Header
}
