package baseline

import (
	"context"
	"sync/atomic"

	"github.com/applepier/applepier/internal/engine"
)

// roundRobin picks the engines in turn. An engine gets at most as many concurrent
// streams as it runs at full speed; further requests wait in order of arrival.
type roundRobin struct {
	engines []queuedEngine
	next    atomic.Uint64
}

// queuedEngine is an engine with a semaphore of its slots. Goroutines that wait to
// send on a channel are served first in, first out.
type queuedEngine struct {
	engine engine.Engine
	slots  chan struct{}
}

func newRoundRobin(urls []string, capacity int) *roundRobin {
	r := &roundRobin{}
	for _, url := range urls {
		queued := queuedEngine{engine: engine.NewClient(url), slots: make(chan struct{}, capacity)}
		r.engines = append(r.engines, queued)
	}
	return r
}

func (r *roundRobin) pick(ctx context.Context) (engine.Engine, func(), error) {
	chosen := r.engines[r.next.Add(1)%uint64(len(r.engines))]
	select {
	case chosen.slots <- struct{}{}:
		return chosen.engine, func() { <-chosen.slots }, nil
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
}

func (r *roundRobin) close() {}
