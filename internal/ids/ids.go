// Package ids generates the identifiers in control messages. An identifier is a
// version 4 UUID (RFC 9562) in base64url, which is shorter than its usual form; the
// size matters because each message of a request carries the request ID.
package ids

import (
	"encoding/base64"

	"github.com/google/uuid"
)

// New returns a new random identifier of 22 URL-safe characters.
func New() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}
