// Package origin records which software version began a stream, so that a stream that its caller
// resumes at another gateway continues at a server of that version. Each gateway sends the record of
// a stream that begins to a few other gateways, and asks them when a caller resumes a stream that it
// doesn't know. Records are kept in memory only. Start reading at Directory.
package origin

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/applepier/applepier/policy"
)

// Stream identifies a stream at all gateways.
type Stream uint64

// Unnamed stands for a stream that its caller resumes without naming the request that began it. It is
// never recorded.
const Unnamed Stream = 0

// StreamOf returns the identifier of the stream that a customer's request began, Unnamed if the request
// has no ID. The hash is cryptographic and covers the customer, so that no customer can name another
// one's stream.
func StreamOf(customer, requestID string) Stream {
	if requestID == "" {
		return Unnamed
	}
	hash := sha256.Sum256([]byte(customer + "\x00" + requestID))
	return Stream(binary.BigEndian.Uint64(hash[:]))
}

// Origin is where a stream began.
type Origin struct {
	// Service is the key of the service, and Version that of the software version of the server
	// that sent the first event.
	Service policy.Key
	Version policy.Key
}

// Source tells how the origin of a stream is known.
type Source string

// Sources of an origin.
const (
	// SourceOwn: this gateway forwarded events of the stream.
	SourceOwn Source = "own"
	// SourceRecord: another gateway sent the record.
	SourceRecord Source = "record"
	// SourceOnlyVersion: the service has had no other version for as long as a stream lasts.
	SourceOnlyVersion Source = "only_version"
	// SourceUnknown: the origin isn't known.
	SourceUnknown Source = "unknown"
)
