package agent

import (
	"context"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/engine"
)

// panickingStream is a stream whose reader panics after the first chunk.
type panickingStream struct {
	emptyStream
	begun bool
}

func (s *panickingStream) Next() (engine.Chunk, error) {
	if s.begun {
		// The entry gets the first chunk before.
		time.Sleep(time.Second)
		panic("reading the stream")
	}
	s.begun = true
	return engine.Chunk{Data: []byte("{}"), Tokens: 1}, nil
}

// streamEngine is an engine whose runs return the same stream.
type streamEngine struct {
	engine.Engine
	stream engine.Stream
}

func (e *streamEngine) Start(context.Context, engine.Run) (engine.Stream, error) {
	return e.stream, nil
}

// Guards against a panic in one run that takes a slot of the engine for good, and keeps the agent from
// ever being drained: net/http ends the request and goes on.
func TestPanicInRunFreesItsSlot(t *testing.T) {
	for name, stream := range map[string]engine.Stream{"panic": &panickingStream{}, "no panic": emptyStream{}} {
		t.Run(name, func(t *testing.T) {
			a := testAgentWith(t, &streamEngine{stream: stream})
			server, grant := startTestAgent(t, a)
			frames := postRun(t, server, newRunRequest(grant))
			for {
				if _, err := frames.Next(); err != nil {
					break
				}
			}
			for deadline := time.Now().Add(10 * time.Second); !a.dispatcher.isIdle(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the run still has its slot")
				}
			}
		})
	}
}
