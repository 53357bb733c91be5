package baseline

import (
	"context"
	"sync/atomic"

	"github.com/applepier/applepier/internal/engine"
)

// roundRobin takes the engines in turn. Each runs as many streams as it runs
// at full speed; the rest waits in order of arrival.
type roundRobin struct {
	engines []queuedEngine
	next    atomic.Uint64
}

// queuedEngine is an engine with the places it has. Goroutines that wait to
// send on a channel are served first in, first out.
type queuedEngine struct {
	engine engine.Engine
	places chan struct{}
}

func newRoundRobin(urls []string, capacity int) *roundRobin {
	r := &roundRobin{}
	for _, url := range urls {
		queued := queuedEngine{engine: engine.NewClient(url), places: make(chan struct{}, capacity)}
		r.engines = append(r.engines, queued)
	}
	return r
}

func (r *roundRobin) pick(ctx context.Context) (engine.Engine, func(), error) {
	chosen := r.engines[r.next.Add(1)%uint64(len(r.engines))]
	select {
	case chosen.places <- struct{}{}:
		return chosen.engine, func() { <-chosen.places }, nil
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
}

func (r *roundRobin) close() {}
