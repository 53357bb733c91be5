package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/applepier/applepier/internal/callers"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/exchange"
	"github.com/applepier/applepier/internal/gateway/origin"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/policy/isolation"
)

// Bounds holds the operator's bounds on a gateway.
type Bounds struct {
	// MaxStateAge bounds the time since the desired state was last confirmed to be the newest.
	// Beyond it, requests that require an API key or match no route are refused. 0 means no bound.
	MaxStateAge time.Duration
	// RetryRatio and RetryExtra bound the retries of a service within RetryWindow. All gateways
	// together may send RetryRatio retries for each request, plus RetryExtra.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// MaxRequestMemory bounds the memory of the requests in progress, in bytes; 0 means no bound.
	MaxRequestMemory int64
}

// Config holds the dependencies of a Router.
type Config struct {
	Zone     string
	Dialect  protocol.Dialect
	Holder   *routes.Holder
	Registry *backend.Registry
	Pool     *exchange.Pool
	// Peers reports the load and the limits that other gateways have seen.
	Peers Peers
	// ListedGateways returns the number of gateways that share the servers' rate limits: those in the
	// list and, until it has been read, those that have sent datagrams.
	ListedGateways func() int
	// KnownGateways returns the number of gateways that share the retry budget; 0 until the list has
	// been read. Too low a number lets each gateway spend too much.
	KnownGateways func() int
	Chooser       *policy.Chooser
	// Random is the random source that the Chooser uses too. The Router's lock guards it.
	Random      *rand.Rand
	Ejector     *policy.Ejector
	PrefixIndex *policy.PrefixIndex
	Origins     Origins
	Observer    Observer
	// ZonePrice is how many milliseconds of a caller's wait one megabyte between zones is worth; nil if
	// shares aren't planned. ZonePeers is used only if it isn't nil.
	ZonePrice *float64
	ZonePeers ZonePeers
}

// Origins knows at which software version streams began; see package origin.
type Origins interface {
	// Begin records the origin of a stream before its first events are forwarded.
	Begin(stream origin.Stream, from origin.Origin)
	// Find returns the origin of a stream that its caller resumes, and how it is known. service is the
	// only one that may have begun it; 0 if there are several.
	Find(ctx context.Context, stream origin.Stream, service policy.Key) (origin.Origin, origin.Source)
}

// Peers provides what the other gateways have reported to this one.
type Peers interface {
	// LoadAt returns the requests that the other gateways have in flight at a backend server.
	LoadAt(server string) backend.Counts
	// OfferCounts returns the recent counts of the other gateways' offers for a service.
	OfferCounts(service string) policy.OfferCounts
	// LimitedSends returns the recent number of requests that they sent to a server instance with a
	// rate limit, as policy.ServerLimits counts them.
	LimitedSends(instance policy.Key) float64
	// LiveGateways returns the number of gateways from which updates arrive, including this one.
	LiveGateways() int
	// OwnsTrial reports whether this gateway, of all from which updates arrive, is the one to make the
	// trial of quarantined segments with a key.
	OwnsTrial(key uint64) bool
	// ReportInterval returns the longest time until requests that other gateways send are visible
	// here.
	ReportInterval() time.Duration
}

// Observer receives events about requests and servers, for metrics and logs.
type Observer interface {
	// ResponseStarted is called when a backend server starts to respond to a request. The customer
	// is empty if the request has none.
	ResponseStarted(customer string)
	// RequestEnded is called once for each request when it has ended.
	RequestEnded(result RequestResult)
	// ServerReplaced is called when another instance responds at a server's address, once for each
	// server.
	ServerReplaced(server string)
	// ServerEnded is called when a server has ended while it had requests, once for each instance.
	ServerEnded(server string)
	// ServerLimitChanged is called when a response changes a server's rate limit, and for each
	// response with an invalid limit.
	ServerLimitChanged(server string, limit protocol.RateLimit)
	// ServerDraining is called when a response says that its server drains, once for each instance, and
	// ServerBackoff when a server wants no requests for a time.
	ServerDraining(server string)
	ServerBackoff(server string, backoff time.Duration)
	// EventsOutOfOrder is called when a server's response to a request is broken off because its events can't
	// be those that follow what the caller has, with the reason.
	EventsOutOfOrder(request, server string, reason error)
	// ResponseTooLarge is called when a part of a response exceeds its limit, with the reason.
	ResponseTooLarge(server, reason string)
	// ResponseEndedEarly is called when a response that ends with its connection ended before its
	// request was written completely.
	ResponseEndedEarly(end EarlyEnd)
	// RetryBudgetExhausted is called when a service's retry budget doesn't allow a retry, at most once
	// in a window of the budget. gateways is the number of gateways among which the fixed part of the
	// budget is divided.
	RetryBudgetExhausted(service string, usage policy.RetryUsage, gateways int)
	// ServersReserved is called when the number of a service's servers that are reserved for streams
	// with a tight target for pauses changes considerably.
	ServersReserved(service string, plan isolation.Plan)
	// StreamPaused is called once for each stream that exceeds its target for pauses.
	StreamPaused()
	// ZoneShareChanged is called when the share of a pair of zones has changed by a tenth or more since
	// the last call, at most once a second for each pair and service.
	ZoneShareChanged(change ZoneShareChange)
	// Quarantined is called when a request or prompt segment is quarantined of which this gateway
	// has observed a crash, with the evidence, and Released when it no longer is.
	Quarantined(evidence policy.Suspicion)
	Released(id policy.SuspectID)
}

// RequestResult describes how a request ended.
type RequestResult struct {
	ID      string
	Route   string
	Service string
	// Customer is the owner of the request's API key; empty if there is none. Urgency follows from
	// the route's tier and the customer's.
	Customer string
	Urgency  int
	// Fingerprint is equal for requests with the same method, host, target, customer and body. It
	// is zero for served requests.
	Fingerprint policy.Fingerprint
	// Status is the HTTP status of the response; 0 if the caller disconnected or the response was
	// broken off.
	Status int
	// Reason is why the request ended with this status.
	Reason Reason
	// Sends is how often the request was sent to a backend server, and FailedDials how many
	// connection attempts to servers failed.
	Sends       int
	FailedDials int
	// RetryDenied is set if the request was not sent again because of the service's retry budget.
	RetryDenied bool
	// Server is the backend server that was chosen last; empty for none.
	Server string
	// ServerEnded is set if that server ended while it had the request. It is not set for served
	// requests.
	ServerEnded bool
	// Segments are the IDs of the prompt segments that other requests may share, and AnswerTime is
	// how long the server had been answering. Both are set only if ServerEnded is.
	Segments   []policy.SegmentID
	AnswerTime time.Duration
	// ExpectedTTFT is the time to first token that was expected when Server was chosen.
	ExpectedTTFT time.Duration
	// PromptTokens is the length of the prompt in tokens; 0 for services without prompts. Admission
	// used MeanTokens instead, which is about the mean of the route's prompts. Server was expected
	// to prefill TokensAhead tokens of other requests and then PrefillTokens of this one; unlike
	// policy.Choice.TokensAhead, TokensAhead excludes the latter and the server's slowdown.
	PromptTokens  int
	MeanTokens    int
	PrefillTokens int
	TokensAhead   int
	// StateVersion is the version of the desired state that applied, and StateAge how long ago it
	// was confirmed to be the newest.
	StateVersion uint64
	StateAge     time.Duration
	// LatencyTarget is the route's target for FirstByteLatency, the time from the request's arrival
	// until the gateway could start to forward a response: its first event, or a buffered body.
	// Duration is the time to the end of the request.
	LatencyTarget    time.Duration
	FirstByteLatency time.Duration
	Duration         time.Duration
	// PauseTarget is the route's target for LongestPause, the longest pause between events.
	PauseTarget  time.Duration
	LongestPause time.Duration
	// Connection is the state of the caller's connection.
	Connection callers.ConnStatus
	// LastEventID is the ID of the last event that the caller had when it sent the request, and
	// ResumesID the request that brought the first one; both are empty for a new stream.
	LastEventID string
	ResumesID   string
	// Versions lists the software version of each server whose events were forwarded, in order.
	Versions []string
	// OriginVersion is the software version that began the stream; empty if it is unknown or the
	// stream wasn't resumed. OriginSource tells how it is known.
	OriginVersion string
	OriginSource  origin.Source
}

// Resumed reports whether the request asked for the rest of a stream, or its response came from
// several servers.
func (r *RequestResult) Resumed() bool { return r.LastEventID != "" || len(r.Versions) > 1 }

// Late reports whether the request missed one of its route's targets.
func (r *RequestResult) Late() bool {
	return r.LatencyTarget > 0 && r.FirstByteLatency > r.LatencyTarget || r.PauseTarget > 0 && r.LongestPause > r.PauseTarget
}

// Reason is why a request ended as it did. It appears in error responses, logs and metrics.
type Reason string

// Reasons. Apart from ReasonServed, ReasonServerFailure, ReasonCallerDisconnected,
// ReasonBodyIncomplete and ReasonStreamBroken, each is the body of an error response.
const (
	ReasonServed             Reason = "served"
	ReasonServerFailure      Reason = "backend_failure"
	ReasonCallerDisconnected Reason = "caller_left"
	ReasonNoState            Reason = "no_desired_state"
	ReasonStateNotFresh      Reason = "state_not_proved_fresh"
	ReasonNoRoute            Reason = "no_route"
	ReasonUnknownKey         Reason = "unknown_key"
	ReasonNoRequestID        Reason = "no_request_id"
	ReasonBodyTooLarge       Reason = "body_too_large"
	ReasonHeaderTooLarge     Reason = "header_too_large"
	ReasonMemoryLimit        Reason = "too_much_held"
	ReasonBodyIncomplete     Reason = "body_not_read"
	ReasonBodyTimeout        Reason = "body_late"
	ReasonNoServer           Reason = "no_server"
	ReasonServersUnreachable Reason = "servers_unreachable"
	ReasonServersRefused     Reason = "servers_refused"
	ReasonOutcomeUnknown     Reason = "outcome_unknown"
	ReasonTimeout            Reason = "time_up"
	ReasonTimeoutNotSent     Reason = "time_up_not_sent"
	ReasonStreamBroken       Reason = "stream_broken"
	ReasonNoCapacity         Reason = "no_room_in_time"
	ReasonNoFreeSlot         Reason = "no_slot_free"
	ReasonServerLimits       Reason = "server_limits"
	ReasonServersBackedOff   Reason = "servers_backed_off"
	ReasonQuarantined        Reason = "crashes_servers"
	ReasonShutdown           Reason = "shutdown"
	// ReasonOriginUnknown: it is unknown which software version began the stream that the caller
	// resumes. ReasonOriginUnavailable: no server of that version can continue it.
	ReasonOriginUnknown     Reason = "stream_origin_unknown"
	ReasonOriginUnavailable Reason = "stream_version_unavailable"
)
