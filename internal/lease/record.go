package lease

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/confirm"
)

// rowPrefix begins the key of each lease's row.
const rowPrefix = "leases/"

// record is the value of a lease's row.
type record struct {
	// Write is unique to each write of the row.
	Write  string `json:"write"`
	Holder string `json:"holder"`
	// Fence grows with each change of holder.
	Fence uint64 `json:"fence"`
	// Released says that the holder gave the lease up.
	Released bool `json:"released,omitempty"`
}

// stored is what was read; version zero means that there is no row.
type stored struct {
	record  record
	version uint64
	// era is of the history in which it was read.
	era uint64
}

// CurrentFence reads the newest fencing number of the named lease; zero when
// it was never held. It returns ErrUnavailable or ErrCorrupt.
func CurrentFence(ctx context.Context, table storage.Table, name string) (uint64, error) {
	now, err := read(ctx, table, rowKey(name))
	return now.record.Fence, err
}

func rowKey(name string) string { return rowPrefix + name }

// read reads the lease's row of the newest era.
func read(ctx context.Context, table storage.Table, row string) (stored, error) {
	era := eraOf(table)
	r, err := table.Get(ctx, eraKey(row, era))
	if errors.Is(err, storage.ErrNotFound) {
		return stored{era: era}, nil
	}
	if err != nil {
		return stored{}, errors.Join(ErrUnavailable, err)
	}
	var rec record
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		return stored{}, errors.Join(ErrCorrupt, err)
	}
	return stored{record: rec, version: r.Version, era: era}, nil
}

func (r record) write(row string, expect uint64) (storage.Write, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return storage.Write{}, errors.Wrap(err, "encode the lease")
	}
	return storage.Write{Key: row, Value: value, Expect: expect}, nil
}

// verdict finds out whether a write of the row took effect.
func verdict(ctx context.Context, table storage.Table, row string, expected stored, write string) (confirm.Verdict, error) {
	now, err := read(ctx, table, row)
	switch {
	case err != nil:
		return 0, err
	case now.era != expected.era:
		// Whatever was written is of a history that is gone.
		return confirm.Overtaken, nil
	case now.record.Write == write:
		return confirm.Written, nil
	case now.version != expected.version:
		return confirm.Overtaken, nil
	}
	return confirm.Pending, nil
}
