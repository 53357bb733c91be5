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
type storedCounts struct {
	_      struct{} `cbor:",toarray"`
	From   Source
	Counts []Count
}

// checkpoint encodes the counts of the windows after one, split into rows.
func (g *Aggregate) checkpoint(after uint64) ([][]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var rows [][]byte
	var row []storedCounts
	size := 0
	for from, t := range g.sources {
		s := storedCounts{From: from}
		for key, n := range t.counts {
			if key.window > after {
				s.Counts = append(s.Counts, Count{Window: key.window, Customer: key.customer, Requests: n})
			}
		}
		if len(s.Counts) == 0 {
			continue
		}
		encoded, err := cbor.Marshal(s)
		if err != nil {
			return nil, errors.Wrap(err, "encode counts")
		}
		if size += len(encoded); size > maxRowBytes && len(row) > 0 {
			if rows, err = appendRow(rows, row); err != nil {
				return nil, err
			}
			row, size = nil, len(encoded)
		}
		row = append(row, s)
	}
	return appendRow(rows, row)
}

func appendRow(rows [][]byte, row []storedCounts) ([][]byte, error) {
	encoded, err := cbor.Marshal(row)
	if err != nil {
		return nil, errors.Wrap(err, "encode counts")
	}
	return append(rows, encoded), nil
}

// restore merges the rows of a checkpoint. Their sources are not waited for until they send
// updates.
func (g *Aggregate) restore(rows []storage.Row) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range rows {
		if len(r.Value) == 0 {
			continue
		}
		var all []storedCounts
		if err := cbor.Unmarshal(r.Value, &all); err != nil {
			return errors.Wrap(ErrCorrupt, err.Error())
		}
		for _, s := range all {
			g.source(s.From).merge(s.Counts)
		}
	}
	return nil
}

// acceptedWrite is the write of the accepted windows.
func acceptedWrite(windows []uint64) (storage.Write, error) {
	value, err := cbor.Marshal(windows)
	if err != nil {
		return storage.Write{}, errors.Wrap(err, "encode accepted windows")
	}
	return storage.Write{Key: acceptedKey, Value: value, Expect: storage.AnyVersion}, nil
}

// readAccepted reads them. Reports of which it isn't known are sent once more.
func readAccepted(row storage.Row) ([]uint64, error) {
	var windows []uint64
	if err := cbor.Unmarshal(row.Value, &windows); err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	return windows, nil
}

// countWrites are the writes of a checkpoint's rows; those of an earlier one that isn't
// needed any more are emptied.
func countWrites(rows [][]byte, before int) []storage.Write {
	var writes []storage.Write
	for i := range max(len(rows), before) {
		w := storage.Write{Key: fmt.Sprintf("%s%d", countsPrefix, i), Expect: storage.AnyVersion}
		if i < len(rows) {
			w.Value = rows[i]
		}
		writes = append(writes, w)
	}
	return writes
}
