package router

import (
	"bytes"
	"cmp"
)

// maxIDDigits bounds the digits of an event's ID, since the last ID is sent in a header when a stream is
// resumed.
const maxIDDigits = 64

// numericID is an event's ID as its server wrote it: a decimal number of any size, also with leading zeros.
type numericID []byte

// parseNumericID returns text as an ID. It reports false if text isn't a decimal number, or has more than
// maxIDDigits.
func parseNumericID(text []byte) (numericID, bool) {
	if len(text) == 0 || len(text) > maxIDDigits {
		return nil, false
	}
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return nil, false
		}
	}
	return text, true
}

// compare returns -1, 0 or 1 if id is less than, equal to or greater than other.
func (id numericID) compare(other numericID) int {
	const zeros = "0"
	a, b := bytes.TrimLeft(id, zeros), bytes.TrimLeft(other, zeros)
	return cmp.Or(cmp.Compare(len(a), len(b)), bytes.Compare(a, b))
}
