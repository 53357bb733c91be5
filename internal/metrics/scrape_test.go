package metrics

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// Guards against a counter that falls because two scrapes overlap: monitoring takes that for a restart of
// the process.
func TestCountersDoNotFallBetweenScrapes(t *testing.T) {
	m := New()
	var dropped atomic.Int64
	m.CollectGateway(func() GatewayStats {
		lines := dropped.Add(1)
		if lines == 1 {
			// The first scrape is slow after it has read.
			time.Sleep(200 * time.Millisecond)
		}
		return GatewayStats{DroppedLogLines: lines}
	})
	var scrapes conc.WaitGroup
	scrapes.Go(m.runScrapeHooks)
	time.Sleep(50 * time.Millisecond)
	m.runScrapeHooks()
	before := counter(m.registry, familyLogLinesDropped).Count()
	scrapes.Wait()
	if after := counter(m.registry, familyLogLinesDropped).Count(); after < before {
		t.Errorf("the counter fell from %d to %d", before, after)
	}
}
