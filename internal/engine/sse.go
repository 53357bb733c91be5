package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/jsonvalue"
)

const (
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 1 << 20
	// maxSkippedBytes bounds the lines between two chunks, such as comments that keep a connection open.
	maxSkippedBytes = 256 << 10
)

var (
	dataField = []byte("data:")
	// doneMarker is the data of the last event of a complete stream.
	doneMarker = []byte("[DONE]")
)

// sseStream implements Stream for server-sent events, each of which carries one
// chat.completion.chunk.
type sseStream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	done    bool
	// version is the engine's software version.
	version string
}

func newSSEStream(body io.ReadCloser, version string) *sseStream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	return &sseStream{body: body, scanner: scanner, version: version}
}

// Next implements Stream.
func (s *sseStream) Next() (Chunk, error) {
	if s.done {
		return Chunk{}, io.EOF
	}
	skipped := 0
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataField)
		if !ok {
			// The end of the line counts too, so that empty lines do.
			if skipped += len(s.scanner.Bytes()) + 1; skipped > maxSkippedBytes {
				return Chunk{}, errors.Wrapf(ErrTruncated, "more than %d bytes without an event", maxSkippedBytes)
			}
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			s.done = true
			return Chunk{}, io.EOF
		}
		chunk, err := decodeChunk(data)
		chunk.SoftwareVersion = s.version
		return chunk, err
	}
	if err := s.scanner.Err(); err != nil {
		return Chunk{}, errors.Wrap(ErrTruncated, err.Error())
	}
	return Chunk{}, ErrTruncated
}

// Close implements Stream. It closes the connection, upon which engines cancel
// the run.
func (s *sseStream) Close() error {
	return s.body.Close()
}

// chunkFields holds the fields of a chunk that this package reads.
type chunkFields struct {
	Choices []struct {
		Index int   `json:"index"`
		Delta delta `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// delta holds the fields that a chunk adds to a choice. Engines have kinds of output that
// OpenAI's API doesn't name.
type delta map[string]json.RawMessage

// content returns the content; empty if there is none.
func (d delta) content() (string, error) {
	var content string
	if len(d["content"]) == 0 {
		return "", nil
	}
	err := json.Unmarshal(d["content"], &content)
	return content, err
}

// isOther reports whether the delta holds output other than content.
func (d delta) isOther() bool {
	for name, value := range d {
		if name != "content" && name != "role" && !jsonvalue.IsEmpty(value) {
			return true
		}
	}
	return false
}

// decodeChunk returns the chunk in data with its token count. It returns
// ErrTruncated for an event that reports an error, because engines send the done
// marker even after an error in the middle of a stream.
func decodeChunk(data []byte) (Chunk, error) {
	var fields chunkFields
	if err := json.Unmarshal(data, &fields); err != nil {
		return Chunk{}, errors.Wrap(ErrTruncated, "event is not JSON")
	}
	if len(fields.Error) > 0 && string(fields.Error) != "null" {
		return Chunk{}, errors.Wrap(ErrTruncated, "engine reported an error")
	}
	chunk := Chunk{Data: bytes.Clone(data)}
	for i := range fields.Choices {
		choice := &fields.Choices[i]
		content, err := choice.Delta.content()
		if err != nil {
			return Chunk{}, errors.Wrap(ErrTruncated, "content is not a string")
		}
		switch {
		case choice.Delta.isOther(), choice.Index > 0 && content != "":
			chunk.Uncounted = true
		case content != "":
			chunk.Tokens = 1
		}
	}
	return chunk, nil
}
