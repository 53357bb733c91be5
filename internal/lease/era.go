package lease

import (
	"fmt"

	"github.com/applepier/applepier/internal/storage"
)

// eraBits is where the era begins in a fencing number: a number of a later era is higher
// than all of earlier ones, whatever was lost with the history of these.
const eraBits = 40

// oldRows is how many earlier eras' rows are written over by the first holder of an era:
// a transaction that was sent in one of them may be carried out late.
const oldRows = 3

// NextFence is the fencing number after another one that is given out in an era.
func NextFence(fence, era uint64) uint64 { return max(fence, era<<eraBits) + 1 }

// eraOf is the newest era of the table service's history that is known.
func eraOf(table storage.Table) uint64 {
	if t, ok := table.(storage.Eras); ok {
		return t.Era()
	}
	return 0
}

// rowIn is the key of the lease's row in an era. Each era has its own row, since a
// version of the one before may be given out again: a write that expects it would take
// effect in a history in which the row says something else.
func (l *Lease) rowIn(era uint64) string { return eraKey(l.row, era) }

func eraKey(row string, era uint64) string {
	if era == 0 {
		return row
	}
	return fmt.Sprintf("%s@%d", row, era)
}

// closeEarlier are the writes that end the rows of earlier eras.
func (l *Lease) closeEarlier(era uint64) ([]storage.Write, error) {
	var writes []storage.Write
	for n := uint64(1); n <= min(era, oldRows); n++ {
		w, err := record{Holder: l.holder, Released: true}.write(l.rowIn(era-n), storage.AnyVersion)
		if err != nil {
			return nil, err
		}
		writes = append(writes, w)
	}
	return writes, nil
}
