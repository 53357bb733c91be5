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
	servers, index := serversOf(n), NewPrefixIndex()
	for i := range servers {
		for segment := range uint64(hotSegments) {
			index.Read(testStart, KeyOf(servers[i].Name), []Part{{ID: segment + 1, Upto: 2500}})
		}
	}
	return servers, index
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{117, 999, 2997} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			servers, index := benchFleet(n)
			random := rand.New(rand.NewPCG(1, 2))
			uses := make([]Use, 100)
			for i := range uses {
				uses[i] = Use{Server: KeyOf(servers[random.IntN(n)].Name), Part: 1 + random.Uint64N(hotSegments), Read: true}
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
			job := Job{Zone: "z", Urgency: 4, Target: 400 * time.Millisecond, Tokens: 9000, Shared: []Part{{ID: 1, Upto: 2500}, {ID: 77, Upto: 6300}}}
			for b.Loop() {
				c.Choose(testStart.Add(time.Millisecond), job, servers, nil)
			}
		})
	}
}
