// Package wire holds the messages between the system's processes, their CBOR
// encoding and the WebSocket connection that carries them. Start reading at
// Message.
package wire

import (
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/policy"
)

// Message is the envelope of one message between an entry and an agent.
// At most one of the pointers is set, but that a Status may ride along: with a
// Hello, Grant or Refuse of an agent. With none set, the message tells the
// version of the targets only.
type Message struct {
	// Stamp passes on the sender's hybrid logical clock.
	Stamp timeline.Stamp `cbor:"1,keyasint"`
	// Targets is the version of the targets that the sender has in force.
	Targets uint64 `cbor:"2,keyasint"`

	Hello    *Hello       `cbor:"10,keyasint,omitempty"`
	Ticket   *Ticket      `cbor:"11,keyasint,omitempty"`
	Withdraw *Withdraw    `cbor:"12,keyasint,omitempty"`
	Grant    *Grant       `cbor:"13,keyasint,omitempty"`
	Refuse   *Refuse      `cbor:"14,keyasint,omitempty"`
	Void     *Void        `cbor:"15,keyasint,omitempty"`
	Voided   *Voided      `cbor:"16,keyasint,omitempty"`
	Ping     *Ping        `cbor:"17,keyasint,omitempty"`
	Status   *Status      `cbor:"18,keyasint,omitempty"`
	NewSet   *targets.Set `cbor:"19,keyasint,omitempty"`
	WantSet  *WantSet     `cbor:"20,keyasint,omitempty"`
}

// Hello opens a connection, from both sides.
type Hello struct {
	// Process is the sender's VM name.
	Process string `cbor:"1,keyasint"`
	// Incarnation is new with each start of the process.
	Incarnation string `cbor:"2,keyasint"`
	// Zone is the sender's availability zone.
	Zone string `cbor:"3,keyasint"`
	// Serves names the model or plain service behind an agent.
	Serves string `cbor:"4,keyasint,omitempty"`
	// Loads says that the backend server takes orders to load a model.
	Loads bool `cbor:"5,keyasint,omitempty"`
}

// Ticket asks an agent for a grant, from an entry.
type Ticket struct {
	// Request identifies the caller's request; Attempt numbers our tries.
	Request string `cbor:"1,keyasint"`
	Attempt int    `cbor:"2,keyasint"`

	Class    string `cbor:"3,keyasint"`
	Tier     int    `cbor:"4,keyasint"`
	Customer string `cbor:"5,keyasint"`
	// SlackMS is how many milliseconds remain until Due must be reached to
	// meet the target. It is relative, since VMs' clocks differ.
	SlackMS int64 `cbor:"6,keyasint"`
	// Due is the milestone that the target is for.
	Due policy.Milestone `cbor:"13,keyasint,omitempty"`
	// Size is the estimated work in tokens.
	Size int `cbor:"7,keyasint"`
	// Prefix is a hash of the prompt's beginning, for the prefix cache.
	Prefix uint64 `cbor:"8,keyasint"`
	// Copies is at how many agents the request holds a ticket.
	Copies int `cbor:"9,keyasint"`
	// Asks is how many agents the request asks before it is refused for good.
	Asks int `cbor:"14,keyasint,omitempty"`
	// Retry marks a request that ran in part before: it is never refused for
	// its estimated wait, since its caller holds half an answer.
	Retry bool `cbor:"10,keyasint,omitempty"`
	// Serves is the model or plain service that is asked for; an agent whose
	// engine has loaded another since refuses the ticket.
	Serves string `cbor:"11,keyasint"`
	// Preemptible says that the run may be stopped for an urgent one: the
	// entry continues it elsewhere.
	Preemptible bool `cbor:"12,keyasint,omitempty"`
}

// Withdraw takes a ticket back, or declines its grant.
type Withdraw struct {
	Request string `cbor:"1,keyasint"`
	Attempt int    `cbor:"2,keyasint"`
}

// Grant offers an engine's room to a ticket. It is single use and lapses.
type Grant struct {
	Request string `cbor:"1,keyasint"`
	Attempt int    `cbor:"2,keyasint"`
	// ID names the grant; it carries the agent's incarnation.
	ID string `cbor:"3,keyasint"`
}

// Reason says why an agent refused a ticket.
type Reason string

// Reasons of a refusal; the request was certainly not run.
const (
	// ReasonOverload: it can't meet its target here.
	ReasonOverload Reason = "overload"
	// ReasonLeaving: the agent takes no new work.
	ReasonLeaving Reason = "leaving"
	// ReasonQueueFull: the bounded queue is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonSwitching: the engine loads another model, or has done so.
	ReasonSwitching Reason = "switching"
	// ReasonEngineDown: the engine can't be reached.
	ReasonEngineDown Reason = "engine_down"
)

// Refuse turns a ticket away.
type Refuse struct {
	Request string `cbor:"1,keyasint"`
	Attempt int    `cbor:"2,keyasint"`
	Reason  Reason `cbor:"3,keyasint"`
	// RetryAfterMS is when coming back is expected to succeed.
	RetryAfterMS int64 `cbor:"4,keyasint"`
}

// Void asks an agent to make a grant unusable.
type Void struct {
	Grant string `cbor:"1,keyasint"`
}

// VoidResult is the agent's atomic answer to Void.
type VoidResult string

// Results of Void.
const (
	// VoidDone: the grant was not used and never will be; it was not run.
	VoidDone VoidResult = "voided"
	// VoidStarted: the grant was used; the request has started.
	VoidStarted VoidResult = "started"
	// VoidUnknown: the grant is from an earlier incarnation of the agent.
	VoidUnknown VoidResult = "unknown"
)

// Voided answers Void.
type Voided struct {
	Grant  string     `cbor:"1,keyasint"`
	Result VoidResult `cbor:"2,keyasint"`
}

// Ping asks for a Status at once; its absence shows a silent connection.
type Ping struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Status is what an agent tells of itself.
type Status struct {
	// Seq repeats the Ping's; zero when the agent sent it unasked.
	Seq uint64 `cbor:"1,keyasint"`
	// Waiting counts tickets, Running counts runs, Limit is how many may run.
	Waiting int `cbor:"2,keyasint"`
	Running int `cbor:"3,keyasint"`
	Limit   int `cbor:"4,keyasint"`
	// Leaving agents take no new work.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// EngineDown says that the engine can't be reached, or loads a model.
	EngineDown bool `cbor:"6,keyasint,omitempty"`
}

// WantSet asks the other side for its targets.
type WantSet struct{}
