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

// instantEngine streams the given number of tokens without delay.
type instantEngine struct {
	engine.Engine
	tokens int
}

func (e *instantEngine) Start(context.Context, engine.Run) (engine.Stream, error) {
	return &instantStream{left: e.tokens}, nil
}

type instantStream struct{ left int }

func (s *instantStream) Next() (engine.Chunk, error) {
	if s.left == 0 {
		return engine.Chunk{}, io.EOF
	}
	s.left--
	return engine.Chunk{Data: benchChunk, Tokens: 1}, nil
}

func (s *instantStream) Close() error { return nil }

var benchChunk = []byte(`{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"w2de "},"finish_reason":null}]}`)

// BenchmarkRelayedToken measures the relay of one token from a fake engine
// through the scheduler and over loopback to a reader in the same process.
func BenchmarkRelayedToken(b *testing.B) {
	server, grant := newTestAgent(b, &instantEngine{tokens: b.N})
	body, err := cbor.Marshal(newRunRequest(grant))
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
