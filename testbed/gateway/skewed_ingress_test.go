package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

const (
	// minSkewedShare is the least share of requests, of those served at the first attempt before, that
	// is to be served while most connections go to one gateway.
	minSkewedShare = 0.95
	// skewedServers and skewedRate load the servers, of eight slots each, to three fifths: an answer
	// takes skewedAnswer.
	skewedServers = 6
	skewedRate    = 96
	skewedAnswer  = 300 * time.Millisecond
)

// servedShare sends requests at skewedRate for a time, each on a new connection to the gateway that pick
// returns, and returns the share that was served.
func servedShare(d time.Duration, prefix string, pick func(i int) *gateway.Fixture) float64 {
	var callers sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	ticker := time.NewTicker(time.Second / skewedRate)
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); sent++ {
		<-ticker.C
		f, id := pick(sent), fmt.Sprintf("%s-%d", prefix, sent)
		callers.Go(func() {
			got := postPrompt(f, "/stream/x", id, "1a:10", "2b:5")
			mu.Lock()
			defer mu.Unlock()
			if got.Status == http.StatusOK && got.Err == nil {
				served++
			}
		})
	}
	callers.Wait()
	return float64(served) / float64(sent)
}

// Guards against a gateway that gets most new connections and refuses what the servers have room for,
// because it takes the others to be sent as much as itself.
func TestSkewedIngressIsServed(t *testing.T) {
	for _, gateways := range []int{6, 20} {
		t.Run(fmt.Sprint("gateways=", gateways), func(t *testing.T) {
			fixtures := gateway.StartGroup(t, gateways, 0)
			for i := range skewedServers {
				fixtures[0].StartServer(fmt.Sprintf("i-%d", i), gateway.Events(3, 0, skewedAnswer/3))
			}
			for i, f := range fixtures {
				f.WaitFor("the gateway to serve", func() bool { return f.Post("/stream/x", fmt.Sprintf("warm-%d", i)).Status == http.StatusOK })
			}
			even := servedShare(3*time.Second, "even", func(i int) *gateway.Fixture { return fixtures[i%gateways] })
			t.Logf("evenly: %.3f served", even)
			for hot := range 2 {
				for _, share := range []int{100, 50} {
					skewed := servedShare(2*time.Second, fmt.Sprintf("hot-%d-%d", hot, share), func(i int) *gateway.Fixture {
						if i%100 < share {
							return fixtures[hot]
						}
						return fixtures[i%gateways]
					})
					t.Logf("%d%% at gateway %d: %.3f served", share, hot, skewed)
					if skewed < minSkewedShare*even {
						t.Errorf("%.3f served with %d%% of the connections at one gateway, %.3f before", skewed, share, even)
					}
				}
			}
			after := servedShare(2*time.Second, "after", func(i int) *gateway.Fixture { return fixtures[i%gateways] })
			if after < minSkewedShare*even {
				t.Errorf("%.3f served once the connections are even again, %.3f before", after, even)
			}
		})
	}
}
