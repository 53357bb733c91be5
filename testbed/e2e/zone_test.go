package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/testbed/fleet"
)

const (
	lostZone     = "kewdale"
	streamCount  = 12
	streamTokens = 150
)

// TestStreamsSurviveAvailabilityZoneLoss kills every process of one
// availability zone (an entry, two engines and their agents) while responses
// stream through the entry of the other zone. Each response must continue on
// another engine and arrive complete.
func TestStreamsSurviveAvailabilityZoneLoss(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Options{
		Entries:  2,
		Backends: fleet.Engines(4, model, 8, 20*time.Millisecond),
		Zones:    []string{"malaga", lostZone},
		Classes:  []targets.Class{{Name: "log-summary", Tier: 4, Model: model, Completion: time.Minute, Repeatable: true}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	wait := startStreams(ctx, t, f.Entries[0])
	killZone(t, f)
	wait()
}

// startStreams starts streamCount streams, each checked by checkStream, and returns when all have
// begun. The returned function waits until they have ended.
func startStreams(ctx context.Context, t *testing.T, entry *fleet.Entry) (wait func()) {
	t.Helper()
	want := wantText(t, params(streamTokens))
	started := make(chan struct{}, streamCount)
	var streams conc.WaitGroup
	for range streamCount {
		streams.Go(func() { checkStream(ctx, t, entry, want, started) })
	}
	for range streamCount {
		select {
		case <-started:
		case <-ctx.Done():
			t.Fatal("not all streams started")
		}
	}
	return streams.Wait
}

// checkStream streams one response, signals its first token on started, and checks
// that the complete text equals want.
func checkStream(ctx context.Context, t *testing.T, entry *fleet.Entry, want string, started chan<- struct{}) {
	client := newClient(entry, "log-summary")
	stream := client.Chat.Completions.NewStreaming(ctx, params(streamTokens))
	defer stream.Close()
	var collected openai.ChatCompletionAccumulator
	signaled := false
	for stream.Next() {
		collected.AddChunk(stream.Current())
		if !signaled && len(collected.Choices) > 0 && collected.Choices[0].Message.Content != "" {
			signaled = true
			started <- struct{}{}
		}
	}
	if err := stream.Err(); err != nil {
		t.Errorf("stream: %v", err)
		return
	}
	if got := collected.Choices[0].Message.Content; got != want {
		t.Errorf("response: got %d bytes, want %d", len(got), len(want))
	}
}

func killZone(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	var processes []*fleet.Process
	for _, entry := range f.Entries {
		if entry.VM.Zone == lostZone {
			processes = append(processes, entry.Process)
		}
	}
	for _, backend := range f.Backends {
		if backend.VM.Zone == lostZone {
			processes = append(processes, backend.Agent, backend.Server.Process)
		}
	}
	if len(processes) != 5 {
		t.Fatalf("processes in the zone: %d, want an entry and two engines with agents", len(processes))
	}
	for _, p := range processes {
		if err := p.Kill(); err != nil {
			t.Error(err)
		}
	}
}
