package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxEventSize bounds one line of a stream, in bytes.
const maxEventSize = 1 << 20

var (
	dataField = []byte("data:")
	endMark   = []byte("[DONE]")
)

// sseStream reads server-sent events with one chat.completion.chunk each.
type sseStream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
	ended bool
}

func newSSEStream(body io.ReadCloser) *sseStream {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventSize)
	return &sseStream{body: body, lines: lines}
}

// Next implements Stream.
func (s *sseStream) Next() (Chunk, error) {
	if s.ended {
		return Chunk{}, io.EOF
	}
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, endMark) {
			s.ended = true
			return Chunk{}, io.EOF
		}
		return decodeChunk(data)
	}
	if err := s.lines.Err(); err != nil {
		return Chunk{}, errors.Wrap(ErrCut, err.Error())
	}
	return Chunk{}, ErrCut
}

// Close implements Stream. The connection is closed with it, and engines end
// the run of a client that has gone.
func (s *sseStream) Close() error {
	return s.body.Close()
}

// chunkContent is what is read of a chunk.
type chunkContent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// decodeChunk counts a chunk's tokens. Engines report an error in the middle
// of a stream as an event and send the end mark after it; that stream is cut.
func decodeChunk(data []byte) (Chunk, error) {
	var content chunkContent
	if err := json.Unmarshal(data, &content); err != nil {
		return Chunk{}, errors.Wrap(ErrCut, "event is not JSON")
	}
	if len(content.Error) > 0 && string(content.Error) != "null" {
		return Chunk{}, errors.Wrap(ErrCut, "engine reported an error")
	}
	chunk := Chunk{Data: bytes.Clone(data)}
	if len(content.Choices) > 0 && content.Choices[0].Delta.Content != "" {
		chunk.Tokens = 1
	}
	return chunk, nil
}
