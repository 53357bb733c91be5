package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// Prefixes of the rows' keys. The rest is a hash of customer and key, which is
// of fixed length and evenly spread, whatever the callers choose.
const (
	claimPrefix  = "claims/"
	answerPrefix = "answers/"
)

// record is the value of a claim's row.
type record struct {
	// Write is unique to each write of the row; it tells whose write it is.
	Write       string    `json:"write"`
	Attempt     string    `json:"attempt"`
	Fingerprint string    `json:"fingerprint"`
	State       State     `json:"state"`
	Agent       string    `json:"agent,omitempty"`
	Grant       string    `json:"grant,omitempty"`
	Outcome     Outcome   `json:"outcome,omitzero"`
	Began       time.Time `json:"began"`
}

// rowKey returns the key of a claim's row.
func rowKey(customer, key string) string {
	hash := sha256.New()
	hash.Write([]byte(customer))
	hash.Write([]byte{0})
	hash.Write([]byte(key))
	return claimPrefix + hex.EncodeToString(hash.Sum(nil))
}

// answerKey returns the key of the answer's row of a claim's row.
func answerKey(row string) string {
	return answerPrefix + row[len(claimPrefix):]
}

// Fingerprint identifies a request by what it asks for.
func Fingerprint(method, path, class string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), []byte(class), body} {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil))
}

func parseRecord(row storage.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, errors.Join(ErrCorrupt, err)
	}
	return r, nil
}

// claim returns the record as a Claim for the given attempt.
func (r record) claim(row string, version uint64, attempt string) Claim {
	return Claim{
		Attempt:     r.Attempt,
		Fingerprint: r.Fingerprint,
		State:       r.State,
		Mine:        r.Attempt == attempt,
		Agent:       r.Agent,
		Grant:       r.Grant,
		Outcome:     r.Outcome,
		Began:       r.Began,
		row:         row,
		write:       r.Write,
		version:     version,
	}
}
