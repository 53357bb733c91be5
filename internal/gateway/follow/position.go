package follow

import (
	"strconv"

	"github.com/go-faster/errors"
)

// ErrPosition: a text doesn't name a position.
var ErrPosition = errors.New("position can't be read")

// versionBits are the low bits of a Position, for the version; the era has the rest.
const versionBits = 48

// Position is a version of the store in an era. A store that comes back from an older
// copy gives its versions out again, in the next era: all positions of an era come after
// all of earlier ones, so that positions are compared as numbers. The zero value is no
// position.
type Position uint64

// At is the position of a version in an era.
func At(era, version uint64) Position {
	return Position(era<<versionBits | version&(1<<versionBits-1))
}

// Era counts the store's returns from older copies.
func (p Position) Era() uint64 { return uint64(p) >> versionBits }

// Version is the store's version; it says nothing in another era.
func (p Position) Version() uint64 { return uint64(p) & (1<<versionBits - 1) }

// String is what ParsePosition reads.
func (p Position) String() string { return strconv.FormatUint(uint64(p), 10) }

// ParsePosition reads a position; ErrPosition for a text that names none.
func ParsePosition(text string) (Position, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Wrap(ErrPosition, err.Error())
	}
	return Position(n), nil
}
