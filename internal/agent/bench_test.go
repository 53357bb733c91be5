package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/wire"
)

// readyEngine streams the given number of tokens without a pause.
type readyEngine struct {
	engine.Engine
	tokens int
}

func (e *readyEngine) Start(context.Context, engine.Run) (engine.Stream, error) {
	return &readyStream{left: e.tokens}, nil
}

type readyStream struct{ left int }

func (s *readyStream) Next() (engine.Chunk, error) {
	if s.left == 0 {
		return engine.Chunk{}, io.EOF
	}
	s.left--
	return engine.Chunk{Data: benchChunk, Tokens: 1}, nil
}

func (s *readyStream) Close() error { return nil }

var benchChunk = []byte(`{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"w2de "},"finish_reason":null}]}`)

// BenchmarkRelayedToken passes one token from the engine's client through the
// policy and over loopback to a reader, both ends in this process.
func BenchmarkRelayedToken(b *testing.B) {
	server, grant := newRunningAgent(b, &readyEngine{tokens: b.N})
	body, err := cbor.Marshal(runOf(grant))
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	response, err := http.Post(server.URL, "application/cbor", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	frames := wire.NewFrameReader(response.Body, func() {})
	defer frames.Close()
	for f := (wire.Frame{}); f.Kind != wire.FrameEnd; {
		if f, err = frames.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
