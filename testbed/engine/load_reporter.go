package engine

import (
	"sync"
	"time"

	"github.com/applepier/applepier/internal/engine"
)

// loadReporter holds the load report and updates it at a fixed interval, so that
// readers see a stale load as with real engines.
type loadReporter struct {
	mu     sync.Mutex
	report engine.Load
	stop   chan struct{}
	done   chan struct{}
}

// newLoadReporter starts a reporter. It measures the load immediately and then
// once per interval until close is called.
func newLoadReporter(interval time.Duration, measure func() engine.Load) *loadReporter {
	r := &loadReporter{report: measure(), stop: make(chan struct{}), done: make(chan struct{})}
	go r.refresh(interval, measure)
	return r
}

// latest returns the most recent report.
func (r *loadReporter) latest() engine.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report
}

// close stops the reporter and waits for its goroutine to end.
func (r *loadReporter) close() {
	close(r.stop)
	<-r.done
}

func (r *loadReporter) refresh(interval time.Duration, measure func() engine.Load) {
	defer close(r.done)
	ticker := time.NewTicker(interval)
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
