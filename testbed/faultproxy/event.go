package faultproxy

import "github.com/applepier/applepier/internal/wire"

// Direction is one of a connection's two.
type Direction int

// Directions, seen from who connects.
const (
	// Upstream runs towards the process behind the proxy.
	Upstream Direction = iota + 1
	// Downstream runs back.
	Downstream
)

// SightKind says what passes.
type SightKind int

// Kinds of sights between an entry and an agent.
const (
	// SightMessage is a message of the control connection.
	SightMessage SightKind = iota + 1
	// SightBody is a piece of a granted request, its body included.
	SightBody
	// SightData is a piece of an answer, SightEnd the mark of its end and
	// SightFail that of its failure.
	SightData
	SightEnd
	SightFail
)

// Sight is something that was seen on the wire.
type Sight struct {
	Direction Direction
	Kind      SightKind
	// Link numbers the proxy's connections, each direction for itself.
	Link int64
	// Data is what passes, with SightBody and SightData. It is only valid
	// during the match.
	Data []byte
	// Message is set with SightMessage.
	Message *wire.Message
}

// Ticket matches a ticket.
func Ticket(s Sight) bool { return s.Message != nil && s.Message.Ticket != nil }

// Grant matches a grant.
func Grant(s Sight) bool { return s.Message != nil && s.Message.Grant != nil }

// NewSet matches the targets on their way between processes.
func NewSet(s Sight) bool { return s.Message != nil && s.Message.NewSet != nil }
