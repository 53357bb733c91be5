package usage

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/applepier/applepier/internal/storage/storagetest"
)

func TestWindowsAreReportedOnce(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster, _ *node) {
		first := currentWindow()
		c.generateRequests(30 * time.Second)
		c.expectReported(t, first, currentWindow()-2, requestsPerWindow, 0.02)
		if calls := c.platform.calls; calls > len(c.platform.accepted) {
			t.Errorf("%d calls for %d windows", calls, len(c.platform.accepted))
		}
	})
}

// A holder that is killed loses no counts: its successor has them from the updates that were sent,
// and reports the windows in time.
func TestSuccessorReportsInTime(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 1300 * time.Millisecond, 4900 * time.Millisecond, 5200 * time.Millisecond} {
		runCluster(t, func(t *testing.T, c *cluster, holder *node) {
			first := currentWindow()
			c.generateRequests(after)
			c.kill(holder)
			// Two nodes continue; only the requests that the third would have started are missing.
			c.generateRequests(30 * time.Second)
			c.expectReported(t, first+2, currentWindow()-2, requestsPerWindow*2/3, 0.02)
			c.platform.mu.Lock()
			defer c.platform.mu.Unlock()
			for w := first; w < first+2; w++ {
				if c.platform.delays[w] > 10*time.Second || c.platform.accepted[w]["a"] < requestsPerWindow*2/3*95/100 {
					t.Errorf("window %d: counts %v, accepted %v after its end", w, c.platform.accepted[w], c.platform.delays[w])
				}
			}
		})
	}
}

// All gateways are killed. The counts that they had sent to the holder are restored from the
// stored checkpoint when gateways start again.
func TestCountsSurviveRestartOfAllGateways(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster, holder *node) {
		for time.Until(fiveSeconds.End(currentWindow())) > time.Second {
			c.generateRequests(100 * time.Millisecond)
		}
		window := currentWindow()
		for _, name := range []string{"a", "b", "c"} {
			for _, node := range append([]*node(nil), c.nodes...) {
				if node.Name == name {
					c.kill(node)
				}
			}
		}
		c.start(t, "a", 11)
		c.start(t, "b", 12)
		time.Sleep(12 * time.Second)
		// Each node started requests for four seconds; those of the last second may be lost.
		started := int64(requestsPerWindow) * 4 / 5
		lost := int64(requestsPerWindow) / 5
		c.expectReported(t, window, window, started-lost/2, float64(lost/2)/float64(started-lost/2))
	})
}

// A holder that can't reach the store loses the lease to a gateway that can.
func TestHolderWithoutStoreLosesLease(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster, holder *node) {
		first := currentWindow()
		c.setFlag(&holder.storeUnreachable, true)
		c.generateRequests(20 * time.Second)
		c.expectReported(t, first, currentWindow()-2, requestsPerWindow, 0.02)
		c.setFlag(&holder.storeUnreachable, false)
		c.generateRequests(20 * time.Second)
		if changes := len(c.platform.holderOrder); changes != 2 {
			t.Errorf("holders sent reports in the order %v, want one change", c.platform.holderOrder)
		}
	})
}

// The holder is cut off from the other gateways but not from the store. The others see no holder and
// campaign, but must not acquire the lease while the holder renews it.
func TestPartitionHasOneHolder(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster, holder *node) {
		c.setFlag(&holder.partitioned, true)
		c.generateRequests(40 * time.Second)
		if order := c.platform.holderOrder; len(order) > 1 {
			t.Errorf("holders sent reports in the order %v, want a single holder", order)
		}
	})
}

// While the store is unavailable no report can be finalized. Once it is back, all windows of the
// outage are reported.
func TestReportsResumeAfterStoreOutage(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster, _ *node) {
		first := currentWindow()
		c.table.SetUnavailable(true)
		c.generateRequests(9 * time.Second)
		c.table.SetUnavailable(false)
		c.generateRequests(20 * time.Second)
		c.platform.mu.Lock()
		defer c.platform.mu.Unlock()
		for w := first; w < currentWindow()-1; w++ {
			if got := c.platform.accepted[w]["a"]; got < requestsPerWindow*98/100 || got > requestsPerWindow*102/100 {
				t.Errorf("window %d: %d requests", w, got)
			}
		}
	})
}

// Requests to the store or its responses get lost, calls fail or time out, and writes take effect
// late. Windows must still be reported with at least 95 % of their requests.
func TestWindowsAreReportedDespiteStoreFaults(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultResponseLost, storagetest.FaultRequestLost, storagetest.FaultDelayed, storagetest.FaultUnavailable, storagetest.FaultTimeout} {
		runCluster(t, func(t *testing.T, c *cluster, _ *node) {
			first := currentWindow()
			for range 10 {
				c.table.InjectFaults(storagetest.FaultNone, fault, fault, storagetest.FaultNone)
				c.generateRequests(2 * time.Second)
				c.table.ApplyDelayed()
			}
			c.generateRequests(15 * time.Second)
			c.platform.mu.Lock()
			defer c.platform.mu.Unlock()
			for w := first; w < currentWindow()-2; w++ {
				if got := c.platform.accepted[w]["a"]; got < requestsPerWindow*95/100 {
					t.Errorf("fault %d, window %d: %d requests", fault, w, got)
				}
			}
		})
	}
}

// A report that the platform doesn't respond to, rejects or is too busy to accept is sent again.
func TestFailedReportsAreRetried(t *testing.T) {
	for _, err := range []error{ErrBusy, ErrNoResponse, ErrRejected} {
		runCluster(t, func(t *testing.T, c *cluster, _ *node) {
			first := currentWindow()
			n := 0
			c.platform.mu.Lock()
			c.platform.respond = func() error {
				if n++; n%4 != 0 {
					return err
				}
				return nil
			}
			c.platform.mu.Unlock()
			c.generateRequests(30 * time.Second)
			c.expectReported(t, first, currentWindow()-3, requestsPerWindow, 0.02)
		})
	}
}

// A holder that the platform rejects because of a higher generation makes no more calls under its
// own generation and leaves the lease to another gateway.
func TestFencedHolderStepsDown(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster, holder *node) {
		generation := holder.Generation()
		c.platform.mu.Lock()
		c.platform.newestGeneration = generation + 1
		c.platform.mu.Unlock()
		c.generateRequests(27 * time.Second)
		if current := c.waitForHolder(t); current.Name == holder.Name || current.Generation() <= generation {
			t.Errorf("%s holds generation %d after %s was rejected with %d", current.Name, current.Generation(), holder.Name, generation)
		}
		c.platform.mu.Lock()
		defer c.platform.mu.Unlock()
		if got := c.platform.fenced[generation]; got != 1 {
			t.Errorf("%d calls with generation %d were rejected, want 1", got, generation)
		}
	})
}

// The store is restored from an older copy without the last reports. Windows that may have been
// sent are not counted again, and no generation is used twice.
func TestNoDuplicateReportsAfterStoreRestore(t *testing.T) {
	for _, kill := range []bool{false, true} {
		runCluster(t, func(t *testing.T, c *cluster, holder *node) {
			snapshot := c.table.Snapshot()
			first := currentWindow()
			c.generateRequests(12 * time.Second)
			generation := holder.Generation()
			c.table.Restore(snapshot)
			if kill {
				c.kill(holder)
			}
			c.generateRequests(30 * time.Second)
			if current := c.waitForHolder(t); current.Generation() <= generation {
				t.Errorf("generation is %d after the restore, %d before", current.Generation(), generation)
			}
			c.platform.mu.Lock()
			defer c.platform.mu.Unlock()
			for w := first + 4; w < currentWindow()-2; w++ {
				if _, ok := c.platform.accepted[w]; !ok {
					t.Errorf("window %d isn't reported (holder killed: %v)", w, kill)
				}
			}
		})
	}
}

// With 68 gateways, the size of the largest deployment, exactly one sends reports. When half of
// them are killed at once, only counts that they had not sent yet are lost.
func TestManyGatewaysHaveOneReporter(t *testing.T) {
	const gateways = 68
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range gateways {
			names = append(names, fmt.Sprintf("gateway-%02d", i))
		}
		c := newCluster(t, names...)
		c.generateRequests(15 * time.Second)
		first := currentWindow()
		for _, node := range append([]*node(nil), c.nodes[:gateways/2]...) {
			c.kill(node)
		}
		c.generateRequests(20 * time.Second)
		c.expectReported(t, first+1, currentWindow()-2, gateways/2*requestsPerWindow/3, 0.02)
		holders := 0
		for _, node := range append([]*node(nil), c.nodes...) {
			if node.HoldsLease() {
				holders++
			}
			c.kill(node)
		}
		if holders != 1 {
			t.Errorf("%d nodes hold the lease, want 1", holders)
		}
		c.stop()
		c.exchange.Wait()
	})
}
