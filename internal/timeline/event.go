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
	KindReceived     Kind = "received"
	KindTicket       Kind = "ticket"
	KindGrant        Kind = "grant"
	KindSent         Kind = "sent"
	KindStart        Kind = "start"
	KindFirstToken   Kind = "first_token"
	KindFinish       Kind = "finish"
	KindPreempt      Kind = "preempt"
	KindRefusal      Kind = "refusal"
	KindUnknown      Kind = "unknown"
	KindRetry        Kind = "retry"
	KindTargetChange Kind = "target_change"
	KindLease        Kind = "lease"
	KindOrder        Kind = "order"
	KindJoin         Kind = "join"
	KindLeave        Kind = "leave"
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
	// Detail is a short reason or count; never a prompt, response body or key.
	Detail string `json:"detail,omitempty"`
}
