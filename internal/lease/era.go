package lease

import (
	"fmt"

	"github.com/applepier/applepier/internal/storage"
)

// eraShift is the number of low bits of a fencing token that count within an era; the
// era is in the bits above. A token of a later era is therefore higher than all tokens
// of earlier eras, even if the rows that recorded those were lost.
const eraShift = 40

// overwrittenEras is the number of earlier eras whose rows the first holder of an era
// overwrites, so that transactions that were sent in one of them fail if they arrive late.
const overwrittenEras = 3

// NextFencingToken returns the fencing token that follows previous, for a lease
// acquired in the given era.
func NextFencingToken(previous, era uint64) uint64 { return max(previous, era<<eraShift) + 1 }

// currentEra returns the newest era of the table service that this process has
// seen; zero if the table has no eras. A new era begins when the service is
// restored from an older copy of its data.
func currentEra(table storage.Table) uint64 {
	if t, ok := table.(storage.EraReporter); ok {
		return t.Era()
	}
	return 0
}

// rowKeyIn returns the key of the lease's row in an era. Each era has a row of
// its own because the service may reuse the previous era's row versions: a late
// write that expects such a version would otherwise succeed against different
// contents.
func (l *Lease) rowKeyIn(era uint64) string { return eraKey(l.rowKey, era) }

func eraKey(baseKey string, era uint64) string {
	if era == 0 {
		return baseKey
	}
	return fmt.Sprintf("%s@%d", baseKey, era)
}

// earlierRowWrites returns the writes that mark the rows of earlier eras as released.
func (l *Lease) earlierRowWrites(era uint64) ([]storage.Write, error) {
	var writes []storage.Write
	for back := uint64(1); back <= min(era, overwrittenEras); back++ {
		write, err := record{Holder: l.holder, Released: true}.rowWrite(l.rowKeyIn(era-back), storage.AnyVersion)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	return writes, nil
}
