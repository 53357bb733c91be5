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
	zoneStreams  = 12
	streamTokens = 150
)

// TestStreamsOutliveTheLossOfAnAvailabilityZone kills every process of one
// availability zone at once, an entry, two engines and their agents, while
// answers stream through the other zone's entry: each is continued elsewhere
// and whole.
func TestStreamsOutliveTheLossOfAnAvailabilityZone(t *testing.T) {
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
	want := wantAnswer(t, params(streamTokens))
	started := make(chan struct{}, zoneStreams)
	var wg conc.WaitGroup
	for range zoneStreams {
		wg.Go(func() { streamWhole(ctx, t, f.Entries[0], want, started) })
	}
	for range zoneStreams {
		select {
		case <-started:
		case <-ctx.Done():
			t.Fatal("streams have not started")
		}
	}
	killZone(t, f)
	wg.Wait()
}

// streamWhole reads one answer, tells of its first token, and compares it with
// what the engine gives.
func streamWhole(ctx context.Context, t *testing.T, entry *fleet.Entry, want string, started chan<- struct{}) {
	client := newClient(entry, "log-summary")
	stream := client.Chat.Completions.NewStreaming(ctx, params(streamTokens))
	defer stream.Close()
	var collected openai.ChatCompletionAccumulator
	told := false
	for stream.Next() {
		collected.AddChunk(stream.Current())
		if !told {
			told = true
			started <- struct{}{}
		}
	}
	if err := stream.Err(); err != nil {
		t.Errorf("stream: %v", err)
		return
	}
	if got := collected.Choices[0].Message.Content; got != want {
		t.Errorf("answer: got %d bytes, want %d", len(got), len(want))
	}
}

func killZone(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	var lost []*fleet.Process
	for _, entry := range f.Entries {
		if entry.VM.Zone == lostZone {
			lost = append(lost, entry.Process)
		}
	}
	for _, backend := range f.Backends {
		if backend.VM.Zone == lostZone {
			lost = append(lost, backend.Agent, backend.Server.Process)
		}
	}
	if len(lost) != 5 {
		t.Fatalf("processes in the zone: %d, want an entry and two engines with agents", len(lost))
	}
	for _, p := range lost {
		if err := p.Kill(); err != nil {
			t.Error(err)
		}
	}
}
