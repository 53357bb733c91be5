// Package wire defines the messages between the system's processes, their CBOR encoding
// and the WebSocket connection that carries them. Start reading at Message.
package wire

import (
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/policy"
)

// Message is the envelope of every message between an entry and an agent. At most one
// of the pointers is set, except that an agent may add a Status to a Hello, Grant or
// Refuse. With none set, the message only announces the version of the targets.
type Message struct {
	// Stamp is the sender's hybrid logical clock.
	Stamp timeline.Timestamp `cbor:"1,keyasint"`
	// TargetsVersion is the version of the targets in force at the sender.
	TargetsVersion uint64 `cbor:"2,keyasint"`

	Hello      *Hello       `cbor:"10,keyasint,omitempty"`
	Ticket     *Ticket      `cbor:"11,keyasint,omitempty"`
	Withdraw   *Withdraw    `cbor:"12,keyasint,omitempty"`
	Grant      *Grant       `cbor:"13,keyasint,omitempty"`
	Refuse     *Refuse      `cbor:"14,keyasint,omitempty"`
	Void       *Void        `cbor:"15,keyasint,omitempty"`
	Voided     *Voided      `cbor:"16,keyasint,omitempty"`
	Ping       *Ping        `cbor:"17,keyasint,omitempty"`
	Status     *Status      `cbor:"18,keyasint,omitempty"`
	TargetSet  *targets.Set `cbor:"19,keyasint,omitempty"`
	GetTargets *GetTargets  `cbor:"20,keyasint,omitempty"`
}

// Hello is the first message on a connection, in both directions. An agent sends it
// again at the end of a model switch.
type Hello struct {
	// Process is the name of the sender's VM.
	Process string `cbor:"1,keyasint"`
	// Instance is unique to each start of the process.
	Instance string `cbor:"2,keyasint"`
	// Zone is the sender's availability zone.
	Zone string `cbor:"3,keyasint"`
	// Serves is the model or plain service behind an agent.
	Serves string `cbor:"4,keyasint,omitempty"`
	// LoadsModels is set when the backend server can be ordered to load a model.
	LoadsModels bool `cbor:"5,keyasint,omitempty"`
}

// Ticket is an entry's request for a grant from an agent.
type Ticket struct {
	// RequestID identifies the caller's request; Attempt numbers the entry's attempts
	// to run it.
	RequestID string `cbor:"1,keyasint"`
	Attempt   int    `cbor:"2,keyasint"`

	Class    string `cbor:"3,keyasint"`
	Tier     int    `cbor:"4,keyasint"`
	Customer string `cbor:"5,keyasint"`
	// SlackMS is the time in milliseconds until DeadlineMilestone must be reached to
	// meet the latency target. It is relative because the VMs' clocks differ.
	SlackMS int64 `cbor:"6,keyasint"`
	// DeadlineMilestone is the milestone that the latency target applies to.
	DeadlineMilestone policy.Milestone `cbor:"13,keyasint,omitempty"`
	// Size is the estimated work in tokens, prompt and response together.
	Size int `cbor:"7,keyasint"`
	// PrefixHash is a hash of the prompt's beginning, for the prefix cache.
	PrefixHash uint64 `cbor:"8,keyasint"`
	// Copies is the number of agents at which the request holds a ticket at the same
	// time.
	Copies int `cbor:"9,keyasint"`
	// MaxEngines is the number of agents, each with one engine, that are asked before
	// the request is refused for good.
	MaxEngines int `cbor:"14,keyasint,omitempty"`
	// Retry marks a request that was executed in part before. It is never refused for
	// its estimated wait, because its caller already has a part of the response.
	Retry bool `cbor:"10,keyasint,omitempty"`
	// Serves is the requested model or plain service. An agent whose engine has loaded
	// another model since refuses the ticket.
	Serves string `cbor:"11,keyasint"`
	// Preemptible is set when the run may be stopped for an urgent one; the entry then
	// continues it elsewhere.
	Preemptible bool `cbor:"12,keyasint,omitempty"`
}

// Withdraw cancels a ticket or declines its grant.
type Withdraw struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   int    `cbor:"2,keyasint"`
}

// Grant permits the run of a ticket's request on the agent's backend server. It can be
// used once and expires.
type Grant struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   int    `cbor:"2,keyasint"`
	// ID identifies the grant and contains the agent's instance.
	ID string `cbor:"3,keyasint"`
}

// Reason tells why an agent refused a ticket.
type Reason string

// Reasons for a refusal. In all cases the request was not executed.
const (
	// ReasonOverload: the request can't meet its latency target at this agent.
	ReasonOverload Reason = "overload"
	// ReasonDraining: the agent accepts no new work.
	ReasonDraining Reason = "leaving"
	// ReasonQueueFull: the agent's bounded queue is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonSwitching: the engine is loading another model or has done so.
	ReasonSwitching Reason = "switching"
	// ReasonBackendServerDown: the backend server can't be reached.
	ReasonBackendServerDown Reason = "engine_down"
)

// Refuse rejects a ticket.
type Refuse struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   int    `cbor:"2,keyasint"`
	Reason    Reason `cbor:"3,keyasint"`
	// RetryAfterMS is the time in milliseconds after which a retry is expected to
	// succeed.
	RetryAfterMS int64 `cbor:"4,keyasint"`
}

// Void asks an agent to invalidate a grant.
type Void struct {
	GrantID string `cbor:"1,keyasint"`
}

// VoidResult is an agent's response to Void. The check and the invalidation are one
// atomic step.
type VoidResult string

// Results of Void.
const (
	// VoidDone: the grant was not used and can't be used any more; the request was not
	// executed.
	VoidDone VoidResult = "voided"
	// VoidStarted: the grant was used, and the request has started.
	VoidStarted VoidResult = "started"
	// VoidUnknown: the agent doesn't know the grant, because an earlier instance issued
	// it or the agent no longer keeps it.
	VoidUnknown VoidResult = "unknown"
)

// Voided is the response to Void.
type Voided struct {
	GrantID string     `cbor:"1,keyasint"`
	Result  VoidResult `cbor:"2,keyasint"`
}

// Ping requests an immediate Status. A missing response shows that the connection is
// dead.
type Ping struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Status is an agent's report of its load and state.
type Status struct {
	// Seq is the Seq of the Ping, or zero in a Status that wasn't requested.
	Seq uint64 `cbor:"1,keyasint"`
	// Waiting is the number of queued tickets, Running the number of active runs, and
	// Limit the number of runs allowed at the same time.
	Waiting int `cbor:"2,keyasint"`
	Running int `cbor:"3,keyasint"`
	Limit   int `cbor:"4,keyasint"`
	// Draining is set when the agent accepts no new work.
	Draining bool `cbor:"5,keyasint,omitempty"`
	// BackendServerDown is set when the backend server can't be reached or is loading a model.
	BackendServerDown bool `cbor:"6,keyasint,omitempty"`
	// SoftwareVersion is the version of the agent's engine; empty if it reports none.
	SoftwareVersion string `cbor:"7,keyasint,omitempty"`
}

// GetTargets requests the peer's target set.
type GetTargets struct{}
