package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// Prefixes of row keys. The rest of a row key is a hash of customer and idempotency
// key, which has a fixed length and is evenly distributed for any input.
const (
	claimPrefix    = "claims/"
	responsePrefix = "answers/"
)

// record is the stored form of a claim.
type record struct {
	// WriteID is unique to each write of the row. A writer whose commit had an
	// unknown outcome recognizes its own write by it.
	WriteID     string    `json:"write"`
	Attempt     string    `json:"attempt"`
	Fingerprint string    `json:"fingerprint"`
	State       State     `json:"state"`
	Agent       string    `json:"agent,omitempty"`
	Grant       string    `json:"grant,omitempty"`
	Outcome     Outcome   `json:"outcome,omitzero"`
	StartedAt   time.Time `json:"began"`
}

// rowKey returns the row key of the claim for an idempotency key of a customer.
func rowKey(customer, key string) string {
	hash := sha256.New()
	hash.Write([]byte(customer))
	hash.Write([]byte{0})
	hash.Write([]byte(key))
	return claimPrefix + hex.EncodeToString(hash.Sum(nil))
}

// responseKey returns the key of the row with the response, given the row key of the
// claim.
func responseKey(claimKey string) string {
	return responsePrefix + claimKey[len(claimPrefix):]
}

// Fingerprint returns a hash that identifies a request by its method, path, class and
// body.
func Fingerprint(method, path, class string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), []byte(class), body} {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// parseRecord decodes a row. Failures are ErrCorrupt.
func parseRecord(row storage.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, errors.Join(ErrCorrupt, err)
	}
	return r, nil
}

// claim returns the record as a Claim. It is owned if attempt is the attempt in the
// record.
func (r record) claim(rowKey string, version uint64, attempt string) Claim {
	return Claim{
		Attempt:     r.Attempt,
		Fingerprint: r.Fingerprint,
		State:       r.State,
		Owned:       r.Attempt == attempt,
		Agent:       r.Agent,
		Grant:       r.Grant,
		Outcome:     r.Outcome,
		StartedAt:   r.StartedAt,
		rowKey:      rowKey,
		writeID:     r.WriteID,
		version:     version,
	}
}
