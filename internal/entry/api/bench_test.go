package api

import (
	"net/http"
	"runtime"
	"testing"

	"github.com/applepier/applepier/internal/wire"
)

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header          { return d.header }
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (discardWriter) WriteHeader(int)                {}
func (discardWriter) Flush()                         {}

// BenchmarkStreamedToken measures forwarding one token in a stream, without the system
// calls of the connections.
func BenchmarkStreamedToken(b *testing.B) {
	chunk := `{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1764000000,"model":"assistant",` +
		`"choices":[{"index":0,"delta":{"content":" manhole"},"finish_reason":null}]}`
	frame := wire.Frame{Kind: wire.FrameData, Data: []byte(chunk), Tokens: 1}
	resp := newStreamResponse(discardWriter{header: http.Header{}}, "1", false)
	b.ReportAllocs()
	for b.Loop() {
		if err := resp.WriteFrame(frame); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRequestInFlight measures the live memory of a request in flight with a body of
// 100 KB. heap-B is the total; body-B is the part taken by the body.
func BenchmarkRequestInFlight(b *testing.B) {
	const bodyBytes = 100_000
	f := newBlockingFixture(b, nil)
	before := liveHeap()
	for range b.N {
		f.mustDispatch(chatCall("urgent", "m", bodyBytes), "urgent")
	}
	b.ReportMetric(float64(liveHeap()-before)/float64(b.N), "heap-B")
	b.ReportMetric(bodyBytes, "body-B")
	f.releaseAll()
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
