package lease

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/confirm"
)

// rowPrefix is the prefix of the keys of all lease rows.
const rowPrefix = "leases/"

// record is the JSON value of a lease's row.
type record struct {
	// WriteID is unique to each write of the row.
	WriteID string `json:"write"`
	Holder  string `json:"holder"`
	// FencingToken increases with each change of holder.
	FencingToken uint64 `json:"fence"`
	// Released is set once the holder has released the lease.
	Released bool `json:"released,omitempty"`
}

// storedRecord is a record as read from the table; version is zero if no row exists.
type storedRecord struct {
	record  record
	version uint64
	// era is the era in which the record was read.
	era uint64
}

// CurrentFencingToken reads the newest fencing token of the named lease; zero if
// the lease was never held. Errors: ErrUnavailable, ErrCorrupt.
func CurrentFencingToken(ctx context.Context, table storage.Table, name string) (uint64, error) {
	current, err := readRecord(ctx, table, rowKey(name))
	return current.record.FencingToken, err
}

func rowKey(name string) string { return rowPrefix + name }

// readRecord reads the lease's row in the newest era.
func readRecord(ctx context.Context, table storage.Table, baseKey string) (storedRecord, error) {
	era := currentEra(table)
	row, err := table.Get(ctx, eraKey(baseKey, era))
	if errors.Is(err, storage.ErrNotFound) {
		return storedRecord{era: era}, nil
	}
	if err != nil {
		return storedRecord{}, errors.Join(ErrUnavailable, err)
	}
	var rec record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return storedRecord{}, errors.Join(ErrCorrupt, err)
	}
	return storedRecord{record: rec, version: row.Version, era: era}, nil
}

func (r record) rowWrite(key string, expectedVersion uint64) (storage.Write, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return storage.Write{}, errors.Wrap(err, "encode lease record")
	}
	return storage.Write{Key: key, Value: value, Expect: expectedVersion}, nil
}

// readBack finds out whether a write of the row with an unknown outcome took
// effect.
func readBack(ctx context.Context, table storage.Table, baseKey string, expected storedRecord, writeID string) (confirm.Outcome, error) {
	current, err := readRecord(ctx, table, baseKey)
	switch {
	case err != nil:
		return 0, err
	case current.era != expected.era:
		// The write belongs to an earlier era, whose data is gone.
		return confirm.Superseded, nil
	case current.record.WriteID == writeID:
		return confirm.Written, nil
	case current.version != expected.version:
		return confirm.Superseded, nil
	}
	return confirm.Pending, nil
}
