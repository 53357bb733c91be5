package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage/storagetest"
)

var errNotHeld = errors.New("lease is not held")

func sweepAllShards(t *testing.T, table *storagetest.Table) int {
	t.Helper()
	s := NewSweeper(table, nil)
	removed := 0
	for shard := range shardCount {
		n, err := s.sweepShard(t.Context(), shard)
		if err != nil {
			t.Fatal(err)
		}
		removed += n
	}
	return removed
}

func TestSweepRespectsRetentionAndRemovesResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		c := NewClaimer(table)
		claim := mustGrant(t, c, mustClaim(t, c, "first"), "grant-1")
		if _, err := c.Finish(t.Context(), claim, Outcome{Complete: true, Response: []byte("a")}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(Retention + MaxClockSkew)
		if n := sweepAllShards(t, table); n != 0 {
			t.Fatalf("removed %d claims before Retention and MaxClockSkew had passed", n)
		}
		time.Sleep(time.Second)
		if n := sweepAllShards(t, table); n != 1 {
			t.Fatalf("removed %d claims after Retention and MaxClockSkew, want 1", n)
		}
		rows, err := table.List(t.Context(), "")
		if err != nil || len(rows) != 0 {
			t.Fatalf("rows left: %v, %v", rows, err)
		}
		mustClaim(t, c, "second")
	})
}

func TestSweepStopsWhenLeaseIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checks := 0
		err := NewSweeper(storagetest.NewTable(), nil).Run(context.Background(), func() error {
			checks++
			if checks > 3 {
				return errNotHeld
			}
			return nil
		})
		if !errors.Is(err, errNotHeld) || checks != 4 {
			t.Fatalf("got %v after %d checks", err, checks)
		}
	})
}
