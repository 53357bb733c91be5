package usage

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
)

func singleRow(value []byte) []storage.Row { return []storage.Row{{Value: value}} }

// cluster is a set of gateways that exchange updates in one process.
type cluster struct {
	mu       sync.Mutex
	nodes    []*node
	table    *storagetest.Table
	platform *checkingPlatform
	// exchange waits for the goroutine that exchanges updates, which ends when stop is called.
	exchange sync.WaitGroup
	stop     context.CancelFunc
}

type node struct {
	cluster *cluster
	*Reporter
	stop context.CancelFunc
	wg   sync.WaitGroup
	// partitioned cuts the node off from all other nodes, storeUnreachable cuts it off from the
	// store.
	partitioned, storeUnreachable bool
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{table: storagetest.NewTable(), platform: newCheckingPlatform(t)}
	for i, name := range names {
		c.start(t, name, uint64(i+1))
	}
	ctx, stop := context.WithCancel(t.Context())
	c.stop = stop
	c.exchange.Go(func() { c.exchangeUpdates(ctx) })
	return c
}

func (c *cluster) start(t *testing.T, name string, bootID uint64) *node {
	n := &node{cluster: c}
	n.Reporter = NewReporter(Config{
		Name: name, BootID: bootID, Windows: fiveSeconds, Delay: 10 * time.Second, LeaseTime: 3 * time.Second,
		Table: nodeTable{n}, Platform: c.platform, Now: time.Now, Peers: n, Eligible: func() bool { return !n.flag(&n.storeUnreachable) }, Observer: nopObserver{}, Log: zap.NewNop(),
	})
	ctx, stop := context.WithCancel(t.Context())
	n.stop = stop
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	n.wg.Go(func() { n.Run(ctx) })
	return n
}

// kill stops a node without letting it release its lease or send further updates.
func (c *cluster) kill(n *node) {
	c.setFlag(&n.partitioned, true)
	c.setFlag(&n.storeUnreachable, true)
	c.mu.Lock()
	for i := range c.nodes {
		if c.nodes[i] == n {
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	n.stop()
	n.wg.Wait()
}

func (c *cluster) setFlag(flag *bool, value bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*flag = value
}

func (n *node) flag(flag *bool) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return *flag
}

// exchangeUpdates sends each node's updates to the others ten times a second.
func (c *cluster) exchangeUpdates(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		nodes := append([]*node(nil), c.nodes...)
		c.mu.Unlock()
		for _, to := range nodes {
			for _, from := range nodes {
				if to != from && !to.flag(&to.partitioned) && !from.flag(&from.partitioned) {
					source := Source{Gateway: from.Name, BootID: from.BootID}
					to.Aggregator.Merge(time.Now(), source, from.Counter.UpdateSince(to.Aggregator.MergedSequence(source)))
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (n *node) reachablePeers() []*node {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var peers []*node
	for _, peer := range n.cluster.nodes {
		if peer != n && !peer.partitioned && !n.partitioned {
			peers = append(peers, peer)
		}
	}
	return peers
}

func (n *node) HasUsageReporter() bool {
	for _, peer := range n.reachablePeers() {
		if peer.HoldsLease() {
			return true
		}
	}
	return false
}

func (n *node) PrecedingPeers() int {
	count := 0
	for _, peer := range n.reachablePeers() {
		if peer.Name < n.Name && !peer.flag(&peer.storeUnreachable) {
			count++
		}
	}
	return count
}

// nodeTable is the table as a node accesses it.
type nodeTable struct{ node *node }

func (t nodeTable) Get(ctx context.Context, key string) (storage.Row, error) {
	if t.node.flag(&t.node.storeUnreachable) {
		return storage.Row{}, storage.ErrUnavailable
	}
	return t.node.cluster.table.Get(ctx, key)
}

func (t nodeTable) List(ctx context.Context, prefix string) ([]storage.Row, error) {
	if t.node.flag(&t.node.storeUnreachable) {
		return nil, storage.ErrUnavailable
	}
	return t.node.cluster.table.List(ctx, prefix)
}

func (t nodeTable) Commit(ctx context.Context, writes []storage.Write) error {
	if t.node.flag(&t.node.storeUnreachable) {
		return storage.ErrOutcomeUnknown
	}
	return t.node.cluster.table.Commit(ctx, writes)
}

func (t nodeTable) Era() uint64 { return t.node.cluster.table.Era() }

type nopObserver struct{}

func (nopObserver) ReportAccepted(time.Duration, bool) {}
func (nopObserver) ReportFailed(error)                 {}

// waitForHolder waits until one node holds the lease, and returns it.
func (c *cluster) waitForHolder(t *testing.T) *node {
	t.Helper()
	for range 200 {
		c.mu.Lock()
		nodes := append([]*node(nil), c.nodes...)
		c.mu.Unlock()
		for _, n := range nodes {
			if n.HoldsLease() {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("no node holds the lease")
	return nil
}

// generateRequests has each node start one request for each of two customers ten times a second,
// for the given time.
func (c *cluster) generateRequests(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c.mu.Lock()
		for _, n := range c.nodes {
			n.Counter.Add("a")
			n.Counter.Add("b")
		}
		c.mu.Unlock()
	}
}

// runCluster runs a test in a synctest bubble with three gateways, one of which holds the lease and
// has sent reports.
func runCluster(t *testing.T, test func(t *testing.T, c *cluster, holder *node)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		c.generateRequests(15 * time.Second)
		test(t, c, c.waitForHolder(t))
		c.mu.Lock()
		nodes := append([]*node(nil), c.nodes...)
		c.mu.Unlock()
		for _, n := range nodes {
			c.kill(n)
		}
		c.stop()
		c.exchange.Wait()
	})
}

// expectReported checks that each window was reported within ten seconds of its end, with the
// wanted number of requests within a relative tolerance.
func (c *cluster) expectReported(t *testing.T, first, last uint64, want int64, tolerance float64) {
	t.Helper()
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	for window := first; window <= last; window++ {
		counts, ok := c.platform.accepted[window]
		if !ok || c.platform.delays[window] > 10*time.Second {
			t.Errorf("window %d: reported %v, %v after its end", window, ok, c.platform.delays[window])
			continue
		}
		if got := float64(counts["a"]); got < float64(want)*(1-tolerance) || got > float64(want)*(1+tolerance) {
			t.Errorf("window %d: %v requests, want %d", window, got, want)
		}
	}
}

func currentWindow() uint64 { return fiveSeconds.Number(time.Now()) }

// requestsPerWindow is the number of requests that three nodes start for one customer in a window.
const requestsPerWindow = 150
