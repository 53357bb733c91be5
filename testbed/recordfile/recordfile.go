// Package recordfile stores the record of a stand-in as JSON lines in a file,
// so that it survives the process. Start reading at Open and Read.
package recordfile

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/go-faster/errors"
)

// fileMode is the mode of a record file: only its owner may read or write it.
const fileMode = 0o600

// File appends entries to a record file. A nil File discards them. It is not safe for
// concurrent use.
type File struct {
	file *os.File
}

// Open opens a record file for appending and creates it if it doesn't exist.
func Open(path string) (*File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open record file")
	}
	return &File{file: file}, nil
}

// Write appends one entry as a line of JSON.
func (f *File) Write(entry any) error {
	if f == nil {
		return nil
	}
	line, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	if _, err = f.file.Write(append(line, '\n')); err != nil {
		return errors.Wrap(err, "write record file")
	}
	return nil
}

// Close closes the file. Closing a nil File does nothing.
func (f *File) Close() error {
	if f == nil {
		return nil
	}
	if err := f.file.Close(); err != nil {
		return errors.Wrap(err, "close record file")
	}
	return nil
}

// Read returns the entries of a record file, oldest first.
func Read[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open record file")
	}
	defer func() { _ = file.Close() }()
	var entries []T
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var entry T
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return nil, errors.Wrap(err, "decode record file")
		}
		entries = append(entries, entry)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read record file")
	}
	return entries, nil
}
