package baseline

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/applepier/applepier/internal/engine"
)

// pollInterval is how often the engines' load reports are read. The reports lag
// behind the actual load by more than that.
const pollInterval = 100 * time.Millisecond

// leastLoad picks the engine with the least reported load. Requests queue in the
// engines.
type leastLoad struct {
	engines []engine.Engine
	cancel  context.CancelFunc
	polls   sync.WaitGroup

	// mu guards loads.
	mu    sync.Mutex
	loads []int
}

func newLeastLoad(urls []string) *leastLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &leastLoad{cancel: cancel, loads: make([]int, len(urls))}
	for i, url := range urls {
		client := engine.NewClient(url)
		l.engines = append(l.engines, client)
		l.polls.Go(func() { l.poll(ctx, i, client) })
	}
	return l
}

// pick returns a random one of the engines with the least reported load.
func (l *leastLoad) pick(context.Context) (engine.Engine, func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best, ties := 0, 0
	for i, load := range l.loads {
		switch {
		case load < l.loads[best] || ties == 0:
			best, ties = i, 1
		case load == l.loads[best]:
			ties++
			if rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return l.engines[best], func() {}, nil
}

func (l *leastLoad) close() {
	l.cancel()
	l.polls.Wait()
}

// poll reads an engine's load until ctx is done. The last load stays in use while the
// engine can't be reached.
func (l *leastLoad) poll(ctx context.Context, index int, client engine.Engine) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if load, err := client.Load(ctx); err == nil {
			l.mu.Lock()
			l.loads[index] = load.Running + load.Waiting
			l.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
