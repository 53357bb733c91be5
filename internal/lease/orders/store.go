package orders

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/storage"
)

// Store reads and writes orders in the table service.
type Store struct {
	table storage.Table
}

// NewStore returns a Store backed by the table service.
func NewStore(table storage.Table) *Store {
	return &Store{table: table}
}

// Issue orders a VM's agent to load a model, under the lease. After a change of
// holder the new holder must issue again all orders that remain in force, since
// agents reject those with a stale fencing token; the order keeps its ID and is not
// executed twice. Issuing an unchanged order with the same fencing token writes nothing.
// Errors: those of lease.Lease.Commit, ErrUnavailable, ErrCorrupt, FencedError.
func (s *Store) Issue(ctx context.Context, held *lease.Lease, vm, model string) error {
	if err := held.Check(); err != nil {
		return err
	}
	last, version, err := s.read(ctx, vm)
	if err != nil && !errors.Is(err, ErrNone) {
		return err
	}
	next := Order{ID: last.ID, FencingToken: held.FencingToken(), Model: model}
	if last.FencingToken > next.FencingToken {
		return &FencedError{FencingToken: next.FencingToken, Newest: last.FencingToken}
	}
	if last == next {
		return nil
	}
	if last.Model != model {
		next.ID = uuid.NewString()
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	return held.Commit(ctx, []storage.Write{{Key: rowKey(vm), Value: value, Expect: version}})
}

// Read returns the newest order to a VM's agent. Errors: ErrNone, ErrUnavailable,
// ErrCorrupt.
func (s *Store) Read(ctx context.Context, vm string) (Order, error) {
	order, _, err := s.read(ctx, vm)
	return order, err
}

func (s *Store) read(ctx context.Context, vm string) (Order, uint64, error) {
	row, err := s.table.Get(ctx, rowKey(vm))
	if errors.Is(err, storage.ErrNotFound) {
		return Order{}, 0, ErrNone
	}
	if err != nil {
		return Order{}, 0, errors.Join(ErrUnavailable, err)
	}
	order, err := decodeOrder(row)
	return order, row.Version, err
}
