package plain

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/go-faster/errors"
)

// ownerOnly is the mode of the record file.
const ownerOnly = 0o600

// Open returns a service that also appends its record to a file, as JSON
// lines. Each line is written before its call is answered, so that the record
// survives the process.
func Open(path string) (*Server, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, ownerOnly)
	if err != nil {
		return nil, errors.Wrap(err, "open record file")
	}
	s := New()
	s.file = file
	return s, nil
}

// Close closes the record file, if there is one.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		return nil
	}
	file := s.file
	s.file = nil
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "close record file")
	}
	return nil
}

// write appends a call to the record file; the caller holds s.mu.
func (s *Server) write(call Call) error {
	if s.file == nil {
		return nil
	}
	line, err := json.Marshal(call)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	if _, err = s.file.Write(append(line, '\n')); err != nil {
		return errors.Wrap(err, "write record file")
	}
	return nil
}

// ReadRecordFile reads back the calls that took effect, oldest first.
func ReadRecordFile(path string) ([]Call, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open record file")
	}
	defer func() { _ = file.Close() }()
	var calls []Call
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var call Call
		if err := json.Unmarshal(lines.Bytes(), &call); err != nil {
			return nil, errors.Wrap(err, "decode record file")
		}
		calls = append(calls, call)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read record file")
	}
	return calls, nil
}
