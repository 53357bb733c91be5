package isolation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against gateways that reserve different servers: a stream would then be placed where
// another gateway sends long prompts. The gateways know rates that differ by up to a tenth from
// the true ones, newly drawn for each decision, and slightly different estimates of speed.
//
// The page's target is that they decide nearly the same. A tenth is what it counts as a change of
// the number (servers_reserved), so the bound is: each gateway's set differs from that of the true
// rates by at most a tenth of it and one server for rounding, and one of both contains the other.
func TestGatewaysReserveNearlyTheSameServers(t *testing.T) {
	for _, gateways := range []int{6, 29, 68, 410} {
		for _, servers := range []int{12, 58, 200} {
			t.Run(fmt.Sprintf("%d gateways/%d servers", gateways, servers), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(gateways), uint64(servers)))
				truth, exact := testLoad(servers), activePlanner()
				planners := make([]*Planner, gateways)
				for i := range planners {
					planners[i] = activePlanner()
				}
				worst, known, speeds := 0.0, testLoad(servers), testLoad(servers).Servers
				for step := range 20 {
					at := time.Duration(step) * planInterval
					truth.Classes[shortLevel].Rate = 2 * float64(servers) * []float64{1, 2.5, 1}[step/7]
					want := reservedKeys(planAt(exact, at, truth), truth)
					for _, p := range planners {
						known.Classes[shortLevel].Rate = truth.Classes[shortLevel].Rate * (0.9 + 0.2*random.Float64())
						known.Classes[longLevel].Rate = truth.Classes[longLevel].Rate * (0.9 + 0.2*random.Float64())
						for i := range known.Servers {
							known.Servers[i].Slowdown = speeds[i].Slowdown * (0.97 + 0.06*random.Float64())
						}
						got, common := reservedKeys(planAt(p, at, known), known), 0
						for key := range got {
							if want[key] {
								common++
							}
						}
						difference := math.Abs(float64(len(got) - len(want)))
						if common != min(len(got), len(want)) || difference > 0.1*float64(len(want))+1 {
							t.Fatalf("step %d: %d servers reserved, %d by the true rates, %d in common", step, len(got), len(want), common)
						}
						worst = max(worst, difference)
					}
				}
				t.Logf("largest difference: %v servers", worst)
			})
		}
	}
}
