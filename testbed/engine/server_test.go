package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
	standin "github.com/applepier/applepier/testbed/engine"
)

// waitTimeout is the maximum time to wait for an expected event.
const waitTimeout = 20 * time.Second

// fixture is a running stand-in engine and an engine.Client connected to it.
type fixture struct {
	t      *testing.T
	server *standin.Server
	client *engine.Client
}

func newFixture(t *testing.T, config standin.Config) *fixture {
	t.Helper()
	config.Model = "m"
	if config.TokenInterval == 0 {
		config.TokenInterval = 100 * time.Microsecond
	}
	server, err := standin.New(config)
	if err != nil {
		t.Fatal(err)
	}
	httpServer := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	return &fixture{t: t, server: server, client: engine.NewClient(httpServer.URL)}
}

// chatBody returns a request body whose response has the given number of tokens.
func chatBody(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, prompt, tokens)
}

func (f *fixture) startRun(run engine.Run) engine.Stream {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	f.t.Cleanup(cancel)
	stream, err := f.client.Start(ctx, run)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = stream.Close() })
	return stream
}

// readTokens reads up to limit tokens and returns them with the stream's error.
func readTokens(stream engine.Stream, limit int) ([]string, error) {
	var tokens []string
	for len(tokens) < limit {
		chunk, err := stream.Next()
		if err != nil {
			return tokens, err
		}
		var decoded struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal(chunk.Data, &decoded); err != nil {
			return tokens, err
		}
		if chunk.Tokens == 1 {
			tokens = append(tokens, decoded.Choices[0].Delta.Content)
		}
	}
	return tokens, nil
}

// awaitRecord polls until the record of a run satisfies the condition.
func (f *fixture) awaitRecord(runID string, condition func(standin.RunRecord) bool) standin.RunRecord {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		for _, r := range f.server.Records() {
			if r.RunID == runID && condition(r) {
				return r
			}
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Fatalf("run %s: no record met the condition within the timeout; records: %+v", runID, f.server.Records())
	return standin.RunRecord{}
}

func hasOutcome(outcome standin.Outcome) func(standin.RunRecord) bool {
	return func(r standin.RunRecord) bool { return r.Outcome == outcome }
}

// A response has the requested length and is the one that ResponseTokens predicts. A resumed
// stream continues it after the tokens that the caller already has.
func TestResponseIsCompleteAndResumes(t *testing.T) {
	f := newFixture(t, standin.Config{})
	body := chatBody("well 7", 20)
	want := standin.ResponseTokens(body)
	got, err := readTokens(f.startRun(engine.Run{ID: "a#1", Body: body}), 100)
	if err != io.EOF || !slices.Equal(got, want) || len(want) != 20 {
		t.Fatalf("response: got %v, %v; want %v", got, err, want)
	}
	got, err = readTokens(f.startRun(engine.Run{ID: "a#2", Body: body, ResumeFrom: 13}), 100)
	if err != io.EOF || !slices.Equal(got, want[13:]) {
		t.Fatalf("resumed response: got %v, %v; want %v", got, err, want[13:])
	}
	r := f.awaitRecord("a#2", hasOutcome(standin.OutcomeCompleted))
	if r.RequestID != "a" || r.Tokens != 7 || r.ResumedFrom != 13 || r.Started == nil {
		t.Errorf("record: %+v", r)
	}
	if other := standin.ResponseTokens(chatBody("well 8", 20)); slices.Equal(other, want) {
		t.Error("a different request has the same response")
	}
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	f := newFixture(t, standin.Config{Capacity: 1, MaxStreams: 1, LoadReportInterval: time.Millisecond})
	f.server.SetKnobs(func(k *standin.Knobs) { k.StallStreams = 1 })
	first := f.startRun(engine.Run{ID: "first#1", Body: chatBody("x", 3)})
	f.awaitRecord("first#1", hasOutcome(standin.OutcomeRunning))
	low := f.startRun(engine.Run{ID: "low#1", Priority: 4, Body: chatBody("x", 3)})
	high := f.startRun(engine.Run{ID: "high#1", Priority: 0, Body: chatBody("x", 3)})
	f.awaitWaiting(2)
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	for _, stream := range []engine.Stream{low, high} {
		if _, err := readTokens(stream, 100); err != io.EOF {
			t.Fatal(err)
		}
	}
	lowRun := f.awaitRecord("low#1", hasOutcome(standin.OutcomeCompleted))
	highRun := f.awaitRecord("high#1", hasOutcome(standin.OutcomeCompleted))
	if !highRun.Started.Before(*lowRun.Started) {
		t.Errorf("started: high at %v, low at %v", highRun.Started, lowRun.Started)
	}
	f.awaitRecord("first#1", hasOutcome(standin.OutcomeDisconnected))
}

// awaitWaiting polls the load report, which is updated with a delay, until it
// shows the given number of waiting streams.
func (f *fixture) awaitWaiting(waiting int) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		load, err := f.client.Load(context.Background())
		if err != nil {
			f.t.Fatal(err)
		}
		if load.Waiting == waiting {
			return
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Fatalf("load report never showed %d waiting streams", waiting)
}

func TestCancelEndsRun(t *testing.T) {
	f := newFixture(t, standin.Config{})
	f.server.SetKnobs(func(k *standin.Knobs) { k.StallStreams, k.StallAfter = 1, 2 })
	stream := f.startRun(engine.Run{ID: "r/1#1", Body: chatBody("x", 9)})
	if _, err := readTokens(stream, 2); err != nil {
		t.Fatal(err)
	}
	runs, err := f.client.RunIDs(context.Background())
	if err != nil || !slices.Equal(runs, []string{"r/1#1"}) {
		t.Fatalf("IDs of active runs: got %v, %v", runs, err)
	}
	if err := f.client.Cancel(context.Background(), "r/1#1"); err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(); !errors.Is(err, engine.ErrTruncated) {
		t.Errorf("cancelled stream: got %v, want ErrTruncated", err)
	}
	if r := f.awaitRecord("r/1#1", hasOutcome(standin.OutcomeCancelled)); r.Tokens != 2 {
		t.Errorf("tokens: got %d, want 2", r.Tokens)
	}
	if err := f.client.Cancel(context.Background(), "none"); err != nil {
		t.Errorf("cancel of an unknown run: %v", err)
	}
}

// A stream that is cut after its last token but before [DONE] counts as truncated.
func TestStreamCutBeforeDoneEvent(t *testing.T) {
	f := newFixture(t, standin.Config{})
	f.server.SetKnobs(func(k *standin.Knobs) { k.CutStreams, k.CutAfter = 1, 99 })
	got, err := readTokens(f.startRun(engine.Run{ID: "c#1", Body: chatBody("x", 5)}), 100)
	if len(got) != 5 || !errors.Is(err, engine.ErrTruncated) {
		t.Fatalf("got %d tokens and %v, want 5 and ErrTruncated", len(got), err)
	}
	f.awaitRecord("c#1", hasOutcome(standin.OutcomeCut))
}

func TestCrashCutsStreamsAndRejectsRuns(t *testing.T) {
	file := filepath.Join(t.TempDir(), "record")
	f := newFixture(t, standin.Config{RecordFile: file})
	f.server.SetKnobs(func(k *standin.Knobs) { k.CrashAfterTokens = 4 })
	_, err := readTokens(f.startRun(engine.Run{ID: "x#1", Body: chatBody("x", 50)}), 100)
	if !errors.Is(err, engine.ErrTruncated) {
		t.Fatalf("stream: got %v, want ErrTruncated", err)
	}
	f.awaitRecord("x#1", hasOutcome(standin.OutcomeCrashed))
	if _, err := f.client.Start(context.Background(), engine.Run{ID: "x#2", Body: chatBody("x", 5)}); err == nil {
		t.Fatal("a crashed engine accepted a run")
	}
	f.server.SetKnobs(func(k *standin.Knobs) { k.Crashed = false })
	if _, err := readTokens(f.startRun(engine.Run{ID: "x#3", Body: chatBody("x", 5)}), 100); err != io.EOF {
		t.Fatalf("stream after the end of the crash: got %v, want EOF", err)
	}
	f.awaitRecord("x#3", hasOutcome(standin.OutcomeCompleted))
	records, err := standin.ReadRecordFile(file)
	if err != nil || len(records) != 2 || records[0].Outcome != standin.OutcomeCrashed || records[0].Tokens != 4 {
		t.Errorf("record file: %+v, %v", records, err)
	}
}

// A run waits while external streams use all slots. With a slot it starts, but it produces no
// tokens while the engine is frozen.
func TestFrozenEngineBlocksRunsAndExternalStreamsUseSlots(t *testing.T) {
	f := newFixture(t, standin.Config{Capacity: 1, MaxStreams: 2})
	f.server.SetKnobs(func(k *standin.Knobs) { k.ExternalStreams = 2 })
	stream := f.startRun(engine.Run{ID: "w#1", Body: chatBody("x", 5)})
	f.awaitRecord("w#1", hasOutcome(standin.OutcomeWaiting))
	f.server.SetKnobs(func(k *standin.Knobs) { k.ExternalStreams, k.Frozen = 0, true })
	r := f.awaitRecord("w#1", hasOutcome(standin.OutcomeRunning))
	if r.Tokens != 0 {
		t.Errorf("a frozen engine produced %d tokens", r.Tokens)
	}
	f.server.SetKnobs(func(k *standin.Knobs) { k.Frozen = false })
	if _, err := readTokens(stream, 100); err != io.EOF {
		t.Fatal(err)
	}
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	f := newFixture(t, standin.Config{CacheBlocks: 40})
	longPrompt := func(suffix string) string {
		return fmt.Sprintf("%0*d%s", 2000-len(suffix), 0, suffix)
	}
	run := func(id, prompt string) standin.RunRecord {
		if _, err := readTokens(f.startRun(engine.Run{ID: id, Body: chatBody(prompt, 1)}), 100); err != io.EOF {
			t.Fatal(err)
		}
		return f.awaitRecord(id, hasOutcome(standin.OutcomeCompleted))
	}
	if r := run("p#1", longPrompt("a")); r.CachedTokens != 0 {
		t.Errorf("first prompt: %d tokens cached", r.CachedTokens)
	}
	if r := run("p#2", longPrompt("b")); r.CachedTokens < 400 || r.CachedTokens > r.PromptTokens {
		t.Errorf("same prefix: %d of %d tokens cached", r.CachedTokens, r.PromptTokens)
	}
	run("p#3", "other "+longPrompt("c")+longPrompt("d"))
	if r := run("p#4", longPrompt("a")); r.CachedTokens != 0 {
		t.Errorf("after eviction by other prompts: %d tokens cached", r.CachedTokens)
	}
}

func TestOrderWithStaleFencingTokenIsRejected(t *testing.T) {
	f := newFixture(t, standin.Config{})
	ctx := context.Background()
	if err := f.client.SendOrder(ctx, engine.Order{FencingToken: 5, LoadModel: "n"}); err != nil {
		t.Fatal(err)
	}
	stale := engine.Order{FencingToken: 4, LoadModel: "o"}
	if err := f.client.SendOrder(ctx, stale); !errors.Is(err, engine.ErrStaleFencingToken) {
		t.Fatalf("order with stale fencing token: got %v, want ErrStaleFencingToken", err)
	}
	f.server.SetKnobs(func(k *standin.Knobs) { k.IgnoreFencingTokens = true })
	if err := f.client.SendOrder(ctx, stale); err != nil {
		t.Fatalf("order with stale fencing token to an engine that ignores them: %v", err)
	}
}

// A request for a model that is not loaded gets status 404 and isn't recorded as a run.
func TestUnknownModelIsRejected(t *testing.T) {
	f := newFixture(t, standin.Config{})
	_, err := f.client.Start(context.Background(), engine.Run{Body: []byte(`{"model":"z","messages":[{"role":"user","content":"x"}]}`)})
	if rejected, ok := errors.Into[*engine.RejectedError](err); !ok || rejected.Status != 404 {
		t.Fatalf("got %v, want a rejection with status 404", err)
	}
	if len(f.server.Records()) != 0 {
		t.Error("a rejected request was recorded as a run")
	}
}
