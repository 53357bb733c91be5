// Package timeline records the events of a process in a ring buffer, with
// timestamps of a hybrid logical clock (Kulkarni et al., "Logical Physical
// Clocks", 2014) that are sent with each message between processes. The total
// order of the timestamps over all processes preserves causality even if the VMs'
// clocks disagree. Start reading at Event.
package timeline

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	// KindReceived: an entry received a request.
	KindReceived Kind = "received"
	// KindTicket: an entry sent a ticket to an agent, or an agent
	// received it.
	KindTicket Kind = "ticket"
	// KindGrant: an agent issued a grant for a ticket.
	KindGrant Kind = "grant"
	// KindSent: an entry sent a request to the agent whose grant it uses.
	KindSent Kind = "sent"
	// KindStart: an agent accepted a request and started a run.
	KindStart Kind = "start"
	// KindFirstToken: an entry received the first token of a response.
	KindFirstToken Kind = "first_token"
	// KindFinish: a run ended at an agent, or a request ended at an entry.
	KindFinish Kind = "finish"
	// KindPreempt: an agent cancelled a run to free its slot.
	KindPreempt Kind = "preempt"
	// KindRefusal: an agent refused a ticket, or an entry a request.
	KindRefusal Kind = "refusal"
	// KindUnknown: a request ended at an entry with an unknown outcome.
	KindUnknown Kind = "unknown"
	// KindRetry: an entry makes a further attempt at a request.
	KindRetry Kind = "retry"
	// KindTargetChange: an agent applied newer targets.
	KindTargetChange Kind = "target_change"
	// KindLease: an entry acquired the leader's lease, or no longer holds
	// it.
	KindLease Kind = "lease"
	// KindOrder: the leader issued an order, or an agent executed it.
	KindOrder Kind = "order"
	// KindJoin: an entry added an agent to those that it connects to, or
	// an agent received the hello of an entry.
	KindJoin Kind = "join"
	// KindLeave: an entry removed an agent, or a process stopped taking
	// new work.
	KindLeave Kind = "leave"
)

// Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	// Wall is the physical part, in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall" cbor:"1,keyasint"`
	// Logical is the counter that orders timestamps with equal Wall.
	Logical uint32 `json:"logical" cbor:"2,keyasint"`
}

// Before reports whether s is ordered before t.
func (s Timestamp) Before(t Timestamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// Event is an action or observation of a process.
type Event struct {
	Timestamp Timestamp `json:"stamp"`
	Process   string    `json:"process"`
	Kind      Kind      `json:"kind"`
	// Request and Class are empty for events that concern no request.
	Request string `json:"request,omitempty"`
	Class   string `json:"class,omitempty"`
	// Detail is a short text that depends on Kind, such as a reason, an outcome or
	// the name of a process; never a prompt, response body or key.
	Detail string `json:"detail,omitempty"`
}
