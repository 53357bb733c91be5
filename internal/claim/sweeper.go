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

// Limits of the sweep. A pass over all shards takes 68 minutes at one read per second;
// a claim may outlive its Retention by that time. At 10 claims per second a shard holds
// about 210 rows, which one read lists.
const (
	// shardCount is the number of shards in which claims are listed. A shard is a
	// prefix of three hexadecimal digits of the row keys.
	shardCount = 1 << 12
	// sweepInterval is the wait between two shards.
	sweepInterval = time.Second
	// maxRemovalsPerCommit is the maximum number of claims removed in a transaction.
	maxRemovalsPerCommit = 100
)

// Sweeper removes claims whose retention is over. One process at a time should sweep,
// under a lease; two concurrent sweepers are harmless but double the reads.
type Sweeper struct {
	table storage.Table
	log   *zap.Logger
}

// NewSweeper returns a Sweeper of the claims in table. A nil log disables logging.
func NewSweeper(table storage.Table, log *zap.Logger) *Sweeper {
	if log == nil {
		log = zap.NewNop()
	}
	return &Sweeper{table: table, log: log}
}

// Run sweeps one shard after the other until ctx is done or checkLease, which is called
// before each shard, returns an error; it returns that error. It starts at a random
// shard, so that all shards are swept even if the lease holder changes often.
func (s *Sweeper) Run(ctx context.Context, checkLease func() error) error {
	for shard := rand.IntN(shardCount); ; shard = (shard + 1) % shardCount {
		if err := checkLease(); err != nil {
			return err
		}
		if _, err := s.sweepShard(ctx, shard); err != nil {
			s.log.Warn(logging.EventClaimSweepFailed, zap.Int("shard", shard), zap.Error(err))
		}
		if !pause.Sleep(ctx, sweepInterval) {
			return ctx.Err()
		}
	}
}

// sweepShard removes the claims of one shard whose retention is over and returns their
// number. If another writer changes one of the rows concurrently, the transaction fails,
// and its claims and the rest of the shard stay until the next pass.
func (s *Sweeper) sweepShard(ctx context.Context, shard int) (int, error) {
	rows, err := s.table.List(ctx, fmt.Sprintf("%s%03x", claimPrefix, shard))
	if err != nil {
		return 0, errors.Wrap(err, "list claims")
	}
	cutoff := time.Now().Add(-Retention - MaxClockSkew)
	removed := 0
	for len(rows) > 0 {
		n := min(len(rows), maxRemovalsPerCommit)
		count, err := s.removeExpired(ctx, rows[:n], cutoff)
		if err != nil {
			return removed, err
		}
		removed += count
		rows = rows[n:]
	}
	return removed, nil
}

// removeExpired removes the claims among rows that started before cutoff, in one
// transaction, and returns their number. Corrupt rows are logged and kept.
func (s *Sweeper) removeExpired(ctx context.Context, rows []storage.Row, cutoff time.Time) (int, error) {
	var writes []storage.Write
	count := 0
	for _, row := range rows {
		r, err := parseRecord(row)
		if err != nil {
			s.log.Warn(logging.EventClaimCorrupt, zap.String("row", row.Key), zap.Error(err))
			continue
		}
		if !r.StartedAt.Before(cutoff) {
			continue
		}
		count++
		writes = append(writes, storage.Write{Key: row.Key, Expect: row.Version, Delete: true})
		if r.Outcome.ResponseStored {
			writes = append(writes, storage.Write{Key: responseKey(row.Key), Expect: storage.AnyVersion, Delete: true})
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
