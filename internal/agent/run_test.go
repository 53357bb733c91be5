package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/wire"
)

// slowEngine starts a run only when it is released.
type slowEngine struct {
	engine.Engine
	release chan struct{}
}

func (e *slowEngine) Start(ctx context.Context, _ engine.Run) (engine.Stream, error) {
	select {
	case <-e.release:
		return emptyStream{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type emptyStream struct{}

func (emptyStream) Next() (engine.Chunk, error) { return engine.Chunk{}, io.EOF }

func (emptyStream) Close() error { return nil }

// newRunningAgent is an agent beside the engine, with one grant on offer.
func newRunningAgent(t testing.TB, e engine.Engine) (*httptest.Server, *wire.Grant) {
	t.Helper()
	a := New(settings.Agent{
		Process:  "agent",
		Platform: settings.Platform{URL: "http://127.0.0.1:1"},
		Backend:  settings.Backend{Kind: settings.BackendEngine, Serves: "model", URL: "http://127.0.0.1:1"},
	}, "key", zap.NewNop())
	a.model = e
	a.table.setEngine(true)
	sent := &sentTo{}
	s := &session{agent: a, conn: sent}
	a.table.join(s, a.hello)
	a.table.place(s, testTicket("r"))
	server := httptest.NewServer(http.HandlerFunc(a.serveRun))
	t.Cleanup(server.Close)
	return server, sent.grants()[0]
}

// An engine that sends nothing until it has read a long prompt once made the
// entry take the agent for silent.
func TestHeartbeatsGoOnWhileTheEngineStarts(t *testing.T) {
	slow := &slowEngine{release: make(chan struct{})}
	server, grant := newRunningAgent(t, slow)
	body, err := cbor.Marshal(runOf(grant))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(server.URL, "application/cbor", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	frames := wire.NewFrameReader(response.Body, func() { response.Body.Close() })
	defer frames.Close()
	f, err := frames.Next()
	if err != nil || f.Kind != wire.FrameHeartbeat {
		t.Fatalf("before the start: got %v, %v; want a heartbeat", f.Kind, err)
	}
	close(slow.release)
	for f.Kind == wire.FrameHeartbeat {
		if f, err = frames.Next(); err != nil {
			t.Fatal(err)
		}
	}
	if f.Kind != wire.FrameEnd {
		t.Fatalf("after the start: got %v, want the end", f.Kind)
	}
}
