package claim

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// step is one write of a claim's row, waiting for its outcome.
type step struct {
	row string
	// prior is the write that the row must hold, empty when there must be no
	// row; version is the row's version with it.
	prior   string
	version uint64
	next    record
	// answer is written beside the row when next says that it is kept.
	answer []byte
	// done takes the one result.
	done chan result
}

// result is the outcome of a step. Without an error the row holds next.
type result struct {
	// found is what the row holds when the step lost, with its version.
	found   record
	version uint64
	err     error
}

// errLost is the result of a step whose row holds another write than prior.
var errLost = errors.New("row holds another write")

// writes returns the step's part of a transaction.
func (s *step) writes() ([]storage.Write, error) {
	value, err := json.Marshal(s.next)
	if err != nil {
		return nil, errors.Wrap(err, "encode the claim")
	}
	writes := []storage.Write{{Key: s.row, Value: value, Expect: s.version}}
	if s.next.Outcome.Kept {
		writes = append(writes, storage.Write{Key: answerKey(s.row), Value: s.answer, Expect: storage.AnyVersion})
	}
	return writes, nil
}

// end tells the outcome.
func (s *step) end(r result) {
	s.done <- r
}

// settle looks at the row as read back and ends the step if its outcome is
// certain. It reports whether it did.
func (s *step) settle(row storage.Row, exists bool) bool {
	if !exists {
		return s.settleAbsent()
	}
	found, err := parseRecord(row)
	switch {
	case err != nil:
		s.end(result{err: err})
	case found.Write == s.next.Write:
		s.end(result{version: row.Version})
	case found.Write == s.prior:
		s.version = row.Version
		return false
	default:
		s.end(result{found: found, version: row.Version, err: errLost})
	}
	return true
}

// settleAbsent is settle without a row: the first step of a claim is still to
// be written, any other has lost its claim to the sweep.
func (s *step) settleAbsent() bool {
	if s.prior == "" {
		return false
	}
	s.end(result{err: errLost})
	return true
}
