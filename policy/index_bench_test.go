package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// hotSegments is the number of segments that all servers have cached.
const hotSegments = 4

// benchFleet returns servers, and an index in which all of them have the hot segments
// cached.
func benchFleet(n int) ([]Server, *PrefixIndex) {
	servers, index := idleServers(n), NewPrefixIndex()
	for i := range servers {
		for segment := range uint64(hotSegments) {
			index.RecordPrefilled(testStart, KeyOf(servers[i].Name), []PrefixSegment{{ID: segment + 1, End: 2500}})
		}
	}
	return servers, index
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{117, 999, 2997} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			servers, index := benchFleet(n)
			random := rand.New(rand.NewPCG(1, 2))
			uses := make([]PrefixUse, 100)
			for i := range uses {
				uses[i] = PrefixUse{Server: KeyOf(servers[random.IntN(n)].Name), Segment: 1 + random.Uint64N(hotSegments), Prefilled: true}
			}
			for b.Loop() {
				index.Merge(testStart.Add(time.Millisecond), uses)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{117, 999, 2997} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			servers, index := benchFleet(n)
			c := NewChooser(rand.New(rand.NewPCG(1, 2)), NewEjector(), index)
			job := Job{Zone: "z", Urgency: 4, Target: 400 * time.Millisecond, Tokens: 9000, SharedSegments: []PrefixSegment{{ID: 1, End: 2500}, {ID: 77, End: 6300}}}
			for b.Loop() {
				c.Choose(testStart.Add(time.Millisecond), job, servers, nil)
			}
		})
	}
}
