package claim

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/applepier/applepier/internal/storage/storagetest"
)

// BenchmarkClaimedCall measures Claim, Grant and Finish of one call, with a stored
// response of 500 B, against an in-memory table. commits/op is the number of
// transactions per call at the table service; concurrent callers share transactions.
func BenchmarkClaimedCall(b *testing.B) {
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			table := storagetest.NewTable()
			claimer := NewClaimer(table)
			defer claimer.Close()
			var calls atomic.Int64
			b.ReportAllocs()
			b.SetParallelism(callers)
			b.ResetTimer()
			if callers == 1 {
				for range b.N {
					runClaimedCall(b, claimer, calls.Add(1))
				}
			} else {
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						runClaimedCall(b, claimer, calls.Add(1))
					}
				})
			}
			b.ReportMetric(float64(table.Commits())/float64(b.N), "commits/op")
		})
	}
}

func runClaimedCall(b *testing.B, claimer *Claimer, n int64) {
	ctx := b.Context()
	c, err := claimer.Claim(ctx, "customer", fmt.Sprintf("key-%d", n), "fingerprint", fmt.Sprintf("attempt-%d", n))
	if err != nil {
		b.Error(err)
		return
	}
	if c, err = claimer.Grant(ctx, c, "vm-1", "grant-1"); err != nil {
		b.Error(err)
		return
	}
	outcome := Outcome{Complete: true, Status: 200, ContentType: "application/json", Response: make([]byte, 500)}
	if _, err = claimer.Finish(ctx, c, outcome); err != nil {
		b.Error(err)
	}
}
