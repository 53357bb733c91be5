package usage

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

const (
	// ledgerKey is the key of the row that holds the Ledger.
	ledgerKey = "usage/ledger"
	// acceptedKey is the key of the row that lists the windows whose reports the platform has
	// accepted. It is separate from the ledger's row because that row must never be overwritten
	// with an older ledger.
	acceptedKey = "usage/accepted"
	// countsPrefix is the prefix of the keys of the rows that hold a checkpoint: the counts of
	// windows that aren't finalized yet.
	countsPrefix = "usage/counts/"
	// maxRowBytes is the size, in bytes, up to which entries are added to a row of counts; the
	// store accepts 64 KB.
	maxRowBytes = 48 << 10
)

// ErrCorrupt is returned if a stored row can't be decoded by this version of the program.
var ErrCorrupt = errors.New("cannot decode stored usage")

// checkpointEntry holds the counts of one gateway instance in a checkpoint.
type checkpointEntry struct {
	_      struct{} `cbor:",toarray"`
	From   Source
	Counts []Count
}

// encodeCheckpoint encodes the counts of the windows after lastFinalized, split into rows of about
// maxRowBytes.
func (a *Aggregator) encodeCheckpoint(lastFinalized uint64) ([][]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var rows [][]byte
	var entries []checkpointEntry
	size := 0
	for source, counts := range a.sources {
		entry := checkpointEntry{From: source}
		for key, requests := range counts.counts {
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

// restoreCheckpoint merges the rows of a checkpoint. IncompleteGateways doesn't return the sources
// of these rows until they send updates.
func (a *Aggregator) restoreCheckpoint(rows []storage.Row) error {
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

// encodeAccepted returns the write that stores the accepted windows.
func encodeAccepted(windows []uint64) (storage.Write, error) {
	value, err := cbor.Marshal(windows)
	if err != nil {
		return storage.Write{}, errors.Wrap(err, "encode accepted windows")
	}
	return storage.Write{Key: acceptedKey, Value: value, Expect: storage.AnyVersion}, nil
}

// decodeAccepted decodes the accepted windows. Reports of windows that aren't listed are sent once
// more.
func decodeAccepted(row storage.Row) ([]uint64, error) {
	var windows []uint64
	if err := cbor.Unmarshal(row.Value, &windows); err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	return windows, nil
}

// checkpointWrites returns the writes that store a checkpoint's rows. Rows of the previous
// checkpoint that are no longer needed are emptied.
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
