package faultproxy

import "github.com/applepier/applepier/internal/wire"

// Direction is a direction of a connection.
type Direction int

// Directions, as seen from the connecting process.
const (
	// Upstream is the direction to the process behind the proxy.
	Upstream Direction = iota + 1
	// Downstream is the direction back to the connecting process.
	Downstream
)

// EventKind is the kind of data that an event reports.
type EventKind int

// Event kinds between an entry and an agent.
const (
	// EventMessage is a message of the control connection.
	EventMessage EventKind = iota + 1
	// EventBody is a chunk of the headers or body of a granted request.
	EventBody
	// EventData is a data frame of a response, EventEnd its end frame and
	// EventFail its failure frame.
	EventData
	EventEnd
	EventFail
)

// Event describes data that passes the proxy.
type Event struct {
	Direction Direction
	Kind      EventKind
	// Connection is the number of the connection; each direction is numbered separately.
	Connection int64
	// Data is the chunk of an EventBody or EventData. It is valid only during
	// the call of the Matcher.
	Data []byte
	// Message is set for EventMessage.
	Message *wire.Message
}

// IsTicket matches messages with a ticket.
func IsTicket(event Event) bool { return event.Message != nil && event.Message.Ticket != nil }

// IsGrant matches messages with a grant.
func IsGrant(event Event) bool { return event.Message != nil && event.Message.Grant != nil }

// IsTargetSet matches messages that carry a new set of targets.
func IsTargetSet(event Event) bool { return event.Message != nil && event.Message.TargetSet != nil }
