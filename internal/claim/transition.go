package claim

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// transition is a pending conditional write of the row of a claim.
type transition struct {
	rowKey string
	// expectedWriteID is the WriteID that the row must have, empty if the row must
	// not exist. version is the corresponding row version.
	expectedWriteID string
	version         uint64
	next            record
	// response is written in the same transaction if next.Outcome.ResponseStored.
	response []byte
	// result receives exactly one value. Its buffer of one keeps a batch from
	// blocking on a caller that no longer waits.
	result chan result
}

// result is the outcome of a transition. If err is nil, the row holds the record next.
type result struct {
	// current is the stored record after errConflict; version is the row version.
	current record
	version uint64
	err     error
}

// errConflict means that the row does not have the expected WriteID.
var errConflict = errors.New("row was changed by another writer")

// writes returns the writes of this transition for the transaction of a batch.
func (t *transition) writes() ([]storage.Write, error) {
	value, err := json.Marshal(t.next)
	if err != nil {
		return nil, errors.Wrap(err, "encode the claim")
	}
	writes := []storage.Write{{Key: t.rowKey, Value: value, Expect: t.version}}
	if t.next.Outcome.ResponseStored {
		writes = append(writes, storage.Write{Key: responseKey(t.rowKey), Value: t.response, Expect: storage.AnyVersion})
	}
	return writes, nil
}

// complete delivers the result to the caller of submit.
func (t *transition) complete(r result) {
	t.result <- r
}

// resolve compares the row that was read back with the transition, and completes it if
// its outcome is known. It reports whether it did.
func (t *transition) resolve(row storage.Row, exists bool) bool {
	if !exists {
		return t.resolveAbsent()
	}
	current, err := parseRecord(row)
	switch {
	case err != nil:
		t.complete(result{err: err})
	case current.WriteID == t.next.WriteID:
		t.complete(result{version: row.Version})
	case current.WriteID == t.expectedWriteID:
		t.version = row.Version
		return false
	default:
		t.complete(result{current: current, version: row.Version, err: errConflict})
	}
	return true
}

// resolveAbsent is resolve for a row that does not exist. A transition that
// creates the row has not been written and stays in the batch. Any other one conflicts
// with the Sweeper, which removed the row.
func (t *transition) resolveAbsent() bool {
	if t.expectedWriteID == "" {
		return false
	}
	t.complete(result{err: errConflict})
	return true
}
