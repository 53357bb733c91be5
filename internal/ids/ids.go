// Package ids makes the identifiers that control messages carry. They are as
// unique as UUIDs (RFC 9562, version 4) and shorter on the wire, where a
// request's id stands in each of its messages.
package ids

import (
	"encoding/base64"

	"github.com/google/uuid"
)

// New returns a new identifier: 22 characters that are safe in URLs.
func New() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}
