package usage

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

const (
	// ledgerKey is the row of the Ledger, and countsPrefix begins the rows of what was
	// gathered and isn't reported yet.
	ledgerKey = "usage/ledger"
	// acceptedKey is the row of the windows whose reports the platform is known to have. It
	// is apart from the ledger, which must never be written over by an older one.
	acceptedKey  = "usage/accepted"
	countsPrefix = "usage/counts/"
	// maxRowBytes bounds a row of counts; the store takes 64 KB.
	maxRowBytes = 48 << 10
)

// ErrCorrupt: a stored row doesn't hold what this version of the program writes.
var ErrCorrupt = errors.New("stored usage can't be decoded")

// storedCounts are the counts of one start of a gateway.
type checkpointEntry struct {
	_      struct{} `cbor:",toarray"`
	From   Source
	Counts []Count
}

// checkpoint encodes the counts of the windows after one, split into rows.
func (a *Aggregate) encodeCheckpoint(lastFinalized uint64) ([][]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var rows [][]byte
	var entries []checkpointEntry
	size := 0
	for from, source := range a.sources {
		entry := checkpointEntry{From: from}
		for key, requests := range source.counts {
			if key.window > lastFinalized {
				entry.Counts = append(entry.Counts, Count{Window: key.window, Customer: key.customer, Requests: requests})
			}
		}
		if len(entry.Counts) == 0 {
			continue
		}
		encoded, err := cbor.Marshal(entry)
		if err != nil {
			return nil, errors.Wrap(err, "encode counts")
		}
		if size += len(encoded); size > maxRowBytes && len(entries) > 0 {
			if rows, err = appendRow(rows, entries); err != nil {
				return nil, err
			}
			entries, size = nil, len(encoded)
		}
		entries = append(entries, entry)
	}
	return appendRow(rows, entries)
}

func appendRow(rows [][]byte, entries []checkpointEntry) ([][]byte, error) {
	encoded, err := cbor.Marshal(entries)
	if err != nil {
		return nil, errors.Wrap(err, "encode counts")
	}
	return append(rows, encoded), nil
}

// restore merges the rows of a checkpoint. Their sources are not waited for until they send
// updates.
func (a *Aggregate) restoreCheckpoint(rows []storage.Row) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, row := range rows {
		if len(row.Value) == 0 {
			continue
		}
		var entries []checkpointEntry
		if err := cbor.Unmarshal(row.Value, &entries); err != nil {
			return errors.Wrap(ErrCorrupt, err.Error())
		}
		for _, entry := range entries {
			a.sourceLocked(entry.From).merge(entry.Counts)
		}
	}
	return nil
}

// acceptedWrite is the write of the accepted windows.
func encodeAccepted(windows []uint64) (storage.Write, error) {
	value, err := cbor.Marshal(windows)
	if err != nil {
		return storage.Write{}, errors.Wrap(err, "encode accepted windows")
	}
	return storage.Write{Key: acceptedKey, Value: value, Expect: storage.AnyVersion}, nil
}

// readAccepted reads them. Reports of which it isn't known are sent once more.
func decodeAccepted(row storage.Row) ([]uint64, error) {
	var windows []uint64
	if err := cbor.Unmarshal(row.Value, &windows); err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	return windows, nil
}

// countWrites are the writes of a checkpoint's rows; those of an earlier one that isn't
// needed any more are emptied.
func checkpointWrites(rows [][]byte, previousRows int) []storage.Write {
	var writes []storage.Write
	for i := range max(len(rows), previousRows) {
		write := storage.Write{Key: fmt.Sprintf("%s%d", countsPrefix, i), Expect: storage.AnyVersion}
		if i < len(rows) {
			write.Value = rows[i]
		}
		writes = append(writes, write)
	}
	return writes
}
