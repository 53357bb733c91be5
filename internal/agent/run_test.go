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

// slowEngine blocks the start of a run until release is closed.
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

// newTestAgent returns a server for run requests to an agent with the engine e,
// and a grant that the agent has issued.
func newTestAgent(t testing.TB, e engine.Engine) (*httptest.Server, *wire.Grant) {
	t.Helper()
	return startTestAgent(t, testAgentWith(t, e))
}

// startTestAgent is like newTestAgent, for an agent that exists.
func startTestAgent(t testing.TB, a *Agent) (*httptest.Server, *wire.Grant) {
	t.Helper()
	a.dispatcher.setBackendUp(true)
	sender := &recordingSender{}
	s := &session{agent: a, conn: sender}
	a.dispatcher.addSession(s, a.newHello)
	a.dispatcher.enqueue(s, testTicket("r"))
	server := httptest.NewServer(http.HandlerFunc(a.serveRun))
	t.Cleanup(server.Close)
	return server, sender.grants()[0]
}

// testAgentWith returns an agent with the engine e.
func testAgentWith(t testing.TB, e engine.Engine) *Agent {
	t.Helper()
	a := New(settings.Agent{
		Process:  "agent",
		Platform: settings.Platform{URL: "http://127.0.0.1:1"},
		Backend:  settings.Backend{Kind: settings.BackendEngine, ServedName: "model", URL: "http://127.0.0.1:1"},
	}, "key", zap.NewNop())
	a.engine = e
	return a
}

// postRun sends a run request to an agent and returns the frames of its response.
func postRun(t *testing.T, server *httptest.Server, request *wire.RunRequest) *wire.FrameReader {
	t.Helper()
	body, err := cbor.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(server.URL, "application/cbor", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	frames := wire.NewFrameReader(response.Body, func() { _ = response.Body.Close() })
	t.Cleanup(frames.Close)
	return frames
}

// An engine that sends nothing while it prefills a long prompt must not stop
// the agent's heartbeats; the entry once treated such an agent as unresponsive.
func TestHeartbeatsDuringSlowEngineStart(t *testing.T) {
	slow := &slowEngine{release: make(chan struct{})}
	server, grant := newTestAgent(t, slow)
	frames := postRun(t, server, newRunRequest(grant))
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
		t.Fatalf("after the start: got %v, want the end frame", f.Kind)
	}
}
