package origin

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/policy"
)

// ErrMalformed means that a message can't be decoded.
var ErrMalformed = errors.New("malformed message about a stream's origin")

// messageKind tells what a message is. A number is never reused for another kind; messages of unknown
// kinds are ignored, so that gateways of two releases can run side by side.
type messageKind uint8

// Kinds of messages.
const (
	// kindRecord carries the origin of a stream.
	kindRecord messageKind = 1
	// kindQuery asks for the origin of a stream; Service is the only service that may have begun it, 0
	// if there are several.
	kindQuery messageKind = 2
	// kindFound is the response to a query with the record. kindNotFound carries the only version that
	// the queried service has had for longer than a stream lasts; 0 if that isn't known.
	// kindSeveralVersions tells that there is no record and that the service has had several versions.
	kindFound           messageKind = 3
	kindNotFound        messageKind = 4
	kindSeveralVersions messageKind = 5
)

// message is one datagram. It is encoded as an array, which also distinguishes it from the gossip
// messages at the same socket, which are maps. Later releases may append elements.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    messageKind
	Stream  uint64
	Service uint32
	Version uint32
	// Seconds is for how long the record must be kept; in a query, how long the stream lasts at most.
	// Earlier releases send queries with 0.
	Seconds uint32
}

func (m *message) origin() Origin {
	return Origin{Service: policy.Key(m.Service), Version: policy.Key(m.Version)}
}

func (m *message) ttl() time.Duration { return time.Duration(m.Seconds) * time.Second }

// wholeSeconds returns d in seconds, rounded up.
func wholeSeconds(d time.Duration) uint32 { return uint32((d + time.Second - 1) / time.Second) }

// encode returns the datagram.
func (m *message) encode() []byte {
	encoded, err := cbor.Marshal(m)
	if err != nil {
		// Numbers can always be encoded.
		panic(err)
	}
	return encoded
}

// decodeMessage decodes a datagram. It returns ErrMalformed if that fails.
func decodeMessage(datagram []byte) (message, error) {
	// The elements are decoded one by one, because messages of later releases may have more.
	var elements []cbor.RawMessage
	if err := cbor.Unmarshal(datagram, &elements); err != nil {
		return message{}, errors.Wrap(ErrMalformed, err.Error())
	}
	var m message
	targets := []any{&m.Kind, &m.Stream, &m.Service, &m.Version, &m.Seconds}
	if len(elements) < len(targets) {
		return message{}, errors.Wrapf(ErrMalformed, "%d elements", len(elements))
	}
	for i, target := range targets {
		if err := cbor.Unmarshal(elements[i], target); err != nil {
			return message{}, errors.Wrap(ErrMalformed, err.Error())
		}
	}
	return m, nil
}
