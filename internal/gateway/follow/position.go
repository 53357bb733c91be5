package follow

import (
	"strconv"

	"github.com/go-faster/errors"
)

// ErrInvalidPosition is returned for a text that isn't a position.
var ErrInvalidPosition = errors.New("invalid position")

// versionBits is the number of low bits of a Position that hold the version; the rest holds the
// era.
const versionBits = 48

// Position is a version of the store in an era. A store that is restored from an older copy reuses
// its version numbers in the next era. All positions of an era are greater than those of earlier
// eras, so positions can be compared as numbers. The zero value means no position.
type Position uint64

// NewPosition returns the position of a version in an era.
func NewPosition(era, version uint64) Position {
	return Position(era<<versionBits | version&(1<<versionBits-1))
}

// Era returns the number of times that the store has been restored from an older copy.
func (p Position) Era() uint64 { return uint64(p) >> versionBits }

// Version returns the store's version, which is only comparable within one era.
func (p Position) Version() uint64 { return uint64(p) & (1<<versionBits - 1) }

// String formats the position in decimal, as ParsePosition reads it.
func (p Position) String() string { return strconv.FormatUint(uint64(p), 10) }

// ParsePosition parses a position; it returns ErrInvalidPosition if the text isn't one.
func ParsePosition(text string) (Position, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Wrap(ErrInvalidPosition, err.Error())
	}
	return Position(n), nil
}
