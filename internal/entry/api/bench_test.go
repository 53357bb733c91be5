package api

import (
	"net/http"
	"testing"

	"github.com/applepier/applepier/internal/wire"
)

// discard is a caller that reads everything and keeps nothing.
type discard struct{ header http.Header }

func (d discard) Header() http.Header          { return d.header }
func (discard) Write(data []byte) (int, error) { return len(data), nil }
func (discard) WriteHeader(int)                {}
func (discard) Flush()                         {}

// BenchmarkStreamedToken is what an entry pays to pass one token on, without
// the system calls of the connections.
func BenchmarkStreamedToken(b *testing.B) {
	chunk := `{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1764000000,"model":"assistant",` +
		`"choices":[{"index":0,"delta":{"content":" manhole"},"finish_reason":null}]}`
	frame := wire.Frame{Kind: wire.FrameData, Data: []byte(chunk), Tokens: 1}
	answer := newStreamAnswer(discard{header: http.Header{}}, "1", false)
	b.ReportAllocs()
	for b.Loop() {
		if err := answer.Frame(frame); err != nil {
			b.Fatal(err)
		}
	}
}
