package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/internal/storage"
)

// Bounds of the sweep. A pass over all shards takes 68 minutes and one read a
// second, by which claims outlive Retention. At 10 claims a second a shard
// holds some 210 rows, which one read lists.
const (
	// shards is how many parts the claims are listed in.
	shards = 1 << 12
	// sweepPause is between the reads of two shards.
	sweepPause = time.Second
	// maxRemovals is how many claims one transaction removes.
	maxRemovals = 100
)

// Sweeper removes claims after their retention. One process at a time should
// sweep, under a lease; two at once do no harm but double the reads.
type Sweeper struct {
	table storage.Table
	log   *zap.Logger
}

// NewSweeper returns a Sweeper on the table service. A nil log logs nothing.
func NewSweeper(table storage.Table, log *zap.Logger) *Sweeper {
	if log == nil {
		log = zap.NewNop()
	}
	return &Sweeper{table: table, log: log}
}

// Run sweeps shard after shard until ctx ends or held, which is asked before
// each shard, returns an error. It starts anywhere, so that all shards get
// their turn also when the holder of the lease changes often.
func (s *Sweeper) Run(ctx context.Context, held func() error) error {
	for shard := rand.IntN(shards); ; shard = (shard + 1) % shards {
		if err := held(); err != nil {
			return err
		}
		if _, err := s.sweep(ctx, shard); err != nil {
			s.log.Warn(logging.EventClaimSweepFailed, zap.Int("shard", shard), zap.Error(err))
		}
		if !pause.For(ctx, sweepPause) {
			return ctx.Err()
		}
	}
}

// sweep removes the claims of one shard whose retention is over and counts
// them. What another writer changes meanwhile stays for the next pass.
func (s *Sweeper) sweep(ctx context.Context, shard int) (int, error) {
	rows, err := s.table.List(ctx, fmt.Sprintf("%s%03x", claimPrefix, shard))
	if err != nil {
		return 0, errors.Wrap(err, "list claims")
	}
	oldest := time.Now().Add(-Retention - ClockMargin)
	removed := 0
	for len(rows) > 0 {
		n := min(len(rows), maxRemovals)
		count, err := s.remove(ctx, rows[:n], oldest)
		if err != nil {
			return removed, err
		}
		removed += count
		rows = rows[n:]
	}
	return removed, nil
}

// remove removes those of the rows that began before oldest.
func (s *Sweeper) remove(ctx context.Context, rows []storage.Row, oldest time.Time) (int, error) {
	var writes []storage.Write
	count := 0
	for _, row := range rows {
		r, err := parseRecord(row)
		if err != nil {
			s.log.Warn(logging.EventClaimCorrupt, zap.String("row", row.Key), zap.Error(err))
			continue
		}
		if !r.Began.Before(oldest) {
			continue
		}
		count++
		writes = append(writes, storage.Write{Key: row.Key, Expect: row.Version, Delete: true})
		if r.Outcome.Kept {
			writes = append(writes, storage.Write{Key: answerKey(row.Key), Expect: storage.AnyVersion, Delete: true})
		}
	}
	if count == 0 {
		return 0, nil
	}
	if err := s.table.Commit(ctx, writes); err != nil {
		return 0, errors.Wrap(err, "remove claims")
	}
	return count, nil
}
