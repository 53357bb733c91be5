package engine

import (
	"sync"
	"time"

	"github.com/applepier/applepier/internal/engine"
)

// loadReporter holds the load report and updates it at a fixed interval, so that
// clients see a stale load as with real engines.
type reporter struct {
	mu     sync.Mutex
	report engine.Load
	stop   chan struct{}
	done   chan struct{}
}

// newLoadReporter measures the load now and then at every interval until close.
func newReporter(lag time.Duration, measure func() engine.Load) *reporter {
	r := &reporter{report: measure(), stop: make(chan struct{}), done: make(chan struct{})}
	go r.refresh(lag, measure)
	return r
}

// latest returns the most recent report.
func (r *reporter) last() engine.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report
}

func (r *reporter) close() {
	close(r.stop)
	<-r.done
}

func (r *reporter) refresh(lag time.Duration, measure func() engine.Load) {
	defer close(r.done)
	ticker := time.NewTicker(lag)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			load := measure()
			r.mu.Lock()
			r.report = load
			r.mu.Unlock()
		}
	}
}
