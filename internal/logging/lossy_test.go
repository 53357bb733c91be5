package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// stuck is a reader that takes nothing until it is let go.
type stuck struct {
	mu   sync.Mutex
	out  bytes.Buffer
	gate chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.String()
}

func TestSlowReaderBlocksNobody(t *testing.T) {
	out := &stuck{gate: make(chan struct{})}
	log := zap.New(newCore(out, zap.InfoLevel))
	before := Dropped()
	began := time.Now()
	for i := range 5000 {
		log.Info("event_"+string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676)), Request("r"))
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Fatalf("5,000 lines to a reader that takes none took %v", took)
	}
	left := Dropped() - before
	if left < 5000-2*maxQueued || left > 5000-maxQueued {
		t.Errorf("%d lines left out of 5,000, %d fit", left, maxQueued)
	}
	close(out.gate)
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	text := out.text()
	if !strings.Contains(text, "event="+EventLinesDropped) || strings.Count(text, "\n") < maxQueued {
		t.Errorf("%d lines written, and what was left out isn't told", strings.Count(text, "\n"))
	}
}

func TestFloodOfOneEventIsThinned(t *testing.T) {
	out := &stuck{gate: make(chan struct{})}
	close(out.gate)
	log := zap.New(newCore(out, zap.InfoLevel))
	before := Dropped()
	for range 1000 {
		log.Info(EventRequestRefused, Request("r"))
	}
	log.Info(EventRequestUnknown, Request("kept"))
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	lines := strings.Count(out.text(), "\n")
	if lines < sampledFirst || lines > sampledFirst+1000/sampledThen+10 {
		t.Errorf("%d lines of 1,000 alike", lines)
	}
	if got := Dropped() - before; got != int64(1001-lines) {
		t.Errorf("%d lines counted as left out, %d were", got, 1001-lines)
	}
	if !strings.Contains(out.text(), "request=kept") {
		t.Error("the flood swallowed another event")
	}
}

// BenchmarkLine is what a line costs that is written, and one of a flood that
// is left out.
func BenchmarkLine(b *testing.B) {
	for name, core := range map[string]zapcore.Core{
		"written":  newUnthinned(io.Discard, zap.InfoLevel),
		"left out": newCore(io.Discard, zap.InfoLevel),
	} {
		b.Run(name, func(b *testing.B) {
			log := zap.New(core)
			for b.Loop() {
				log.Info(EventRequestRefused, Request("9c41d07be2a35f68"), Class("summary"), Reason("no_room_in_time"), zap.Int("sends", 0))
			}
		})
	}
}

// A burst refuses thousands of requests for one reason; those that are refused
// for another are the ones that operators look for.
func TestFloodOfOneReasonLeavesOthers(t *testing.T) {
	out := &stuck{gate: make(chan struct{})}
	close(out.gate)
	log := zap.New(newCore(out, zap.InfoLevel)).With(zap.String("process", "p"))
	for range 1000 {
		log.Info(EventRequestRefused, Request("r"), Reason("no_room_in_time"))
	}
	for range 20 {
		log.Info(EventRequestRefused, Request("kept"), Reason("state_not_proved_fresh"))
	}
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(out.text(), "request=kept"); got != 20 {
		t.Errorf("%d lines of 20 with another reason", got)
	}
}
