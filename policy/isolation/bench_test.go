package isolation

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan plans for each request at the rates of a large gateway: 70 requests a second with
// 100 servers, 10 with 1,200. With 1 ms nearly all calls return the last decision.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		servers int
		every   time.Duration
	}{{100, time.Second / 70}, {1200, time.Second / 10}, {100, time.Millisecond}, {1200, time.Millisecond}} {
		b.Run(fmt.Sprintf("servers=%d/every=%v", c.servers, c.every), func(b *testing.B) {
			p, load := activePlanner(), testLoad(c.servers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := testStart.Add(time.Duration(i) * c.every)
				if i%100 == 0 {
					observe(p, now, shortLevel, 100, 50)
				}
				p.Plan(now, load)
			}
		})
	}
}

// BenchmarkPlanSorting plans with a server that changes its speed class each time, so that all
// servers are sorted.
func BenchmarkPlanSorting(b *testing.B) {
	for _, servers := range []int{100, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p, load := activePlanner(), testLoad(servers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := testStart.Add(time.Duration(i) * planInterval)
				observe(p, now, shortLevel, 10, 10)
				load.Servers[0].Slowdown = 0.5 + float64(i%2)
				p.Plan(now, load)
			}
		})
	}
}
