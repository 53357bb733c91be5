package router

import (
	"math/rand/v2"
	"time"

	"github.com/applepier/applepier/internal/callers"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/exchange"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

// Bounds are what the operators of a platform bound a gateway by.
type Bounds struct {
	// Proof is how old the proof may be that the desired state in force here
	// is the newest, for requests with a key; 0 is no bound.
	Proof time.Duration
	// RetryRatio and RetryExtra bound sends beyond the first for a service
	// within RetryWindow, over all gateways.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// Held bounds the memory of requests in progress, in bytes; 0 is no bound.
	Held int64
}

// Config is what a Router needs.
type Config struct {
	Zone     string
	Dialect  protocol.Dialect
	Holder   *routes.Holder
	Registry *backend.Registry
	Pool     *exchange.Pool
	// Others tells what other gateways have at a server.
	Others Peers
	// Gateways counts the gateways that share the retry budget and servers' limits.
	Gateways func() int
	Chooser  *policy.Chooser
	// Random is the Chooser's.
	Random   *rand.Rand
	Ejector  *policy.Ejector
	Index    *policy.PrefixIndex
	Observer Observer
}

// Others tells what other gateways have at a backend server.
type Peers interface {
	At(server string) backend.Counts
	// Shortage is what they were short of lately at a service's servers.
	Shortage(service string) policy.Shortage
	// LimitedSends is how many requests they sent lately to a server's start that has
	// named a limit, as policy.ServerLimits counts them.
	LimitedSends(start policy.Key) float64
	// Gateways counts those that are heard of, this one included, and Unseen is
	// for how long what they send may go unseen here.
	Gateways() int
	Unseen() time.Duration
}

// Observer counts requests.
type Observer interface {
	// Began is told of each request that a backend server has begun to answer, with the
	// customer; empty for none.
	Began(customer string)
	// Ended is told of the end of each request.
	Ended(e End)
	// Replaced is told of each server at whose address another start was met.
	Replaced(server string)
	// ServerEnded is told of each server that ended while it had requests.
	ServerEnded(server string)
	// ServerLimited is told of each change of a server's limit that an answer told, and of
	// each limit that can't be read.
	ServerLimited(server string, limit protocol.Limit)
	// Quarantined is told of each request that is quarantined from now on, and why.
	Quarantined(why policy.Suspicion)
}

// End is how a request ended.
type End struct {
	ID      string
	Route   string
	Service string
	// Customer is who asked, and Urgency how urgent that made it.
	Customer string
	Urgency  int
	// Fingerprint is the same for requests that ask for the same thing.
	Fingerprint policy.Fingerprint
	// Status is what the caller was answered with; 0 when it left.
	Status int
	// Reason is why, in a fixed word.
	Reason Reason
	// Sends counts the backend servers that it was sent to, and Unreached the connections
	// to servers that weren't opened.
	Sends     int
	Unreached int
	// Server is the last backend server that was chosen; empty for none.
	Server string
	// ServerEnded says that the server ended while it had the request.
	ServerEnded bool
	// Expected is when the first token was expected there when it was chosen.
	Expected time.Duration
	// PromptTokens is the length of the prompt; 0 for a plain service. It was admitted as one
	// of MeanTokens. Of it Prefill was expected to be computed at that server, behind Ahead
	// tokens of other requests.
	PromptTokens int
	MeanTokens   int
	Prefill      int
	Ahead        int
	// Version is the desired state's that decided, and ProofAge how old the
	// proof was that it is the newest.
	Version  uint64
	ProofAge time.Duration
	// Target is the route's latency target, First how long the first byte of
	// the answer took, and Took how long all of it did.
	LatencyTarget time.Duration
	First         time.Duration
	Took          time.Duration
	// PauseTarget is the longest pause between events that the route allows,
	// and Pause the longest that there was.
	PauseTarget time.Duration
	Pause       time.Duration
	// Caller is how the caller's connection stands.
	Caller callers.End
}

// Late reports whether a target of the route was missed.
func (e *End) Late() bool {
	return e.LatencyTarget > 0 && e.First > e.LatencyTarget || e.PauseTarget > 0 && e.Pause > e.PauseTarget
}

// Reason is why a request ended as it did.
type Reason string

// Reasons.
const (
	ReasonServed             Reason = "served"
	ReasonServerFailure      Reason = "backend_failure"
	ReasonCallerLeft         Reason = "caller_left"
	ReasonNoState            Reason = "no_desired_state"
	ReasonStateNotFresh      Reason = "state_not_proved_fresh"
	ReasonNoRoute            Reason = "no_route"
	ReasonNoKey              Reason = "unknown_key"
	ReasonNoID               Reason = "no_request_id"
	ReasonTooLarge           Reason = "body_too_large"
	ReasonHeaderTooLarge     Reason = "header_too_large"
	ReasonMemoryLimit        Reason = "too_much_held"
	ReasonBodyIncomplete     Reason = "body_not_read"
	ReasonBodyTimeout        Reason = "body_late"
	ReasonNoServer           Reason = "no_server"
	ReasonServersUnreachable Reason = "servers_unreachable"
	ReasonServersRefused     Reason = "servers_refused"
	ReasonUnknown            Reason = "outcome_unknown"
	ReasonTimeUp             Reason = "time_up"
	ReasonTimeoutNotSent     Reason = "time_up_not_sent"
	ReasonStreamBroken       Reason = "stream_broken"
	ReasonCrowded            Reason = "no_room_in_time"
	ReasonNoFreeSlot         Reason = "no_slot_free"
	ReasonServerLimits       Reason = "server_limits"
	ReasonQuarantined        Reason = "crashes_servers"
)
