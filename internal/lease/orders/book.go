package orders

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/storage"
)

// Book gives and reads orders in the table service.
type Book struct {
	table storage.Table
}

// NewBook returns a Book on the table service.
func NewBook(table storage.Table) *Book {
	return &Book{table: table}
}

// Give orders a VM's agent to load a model, under the lease. A new holder
// gives all orders that are to stand again, since agents refuse those under an
// old number; the order keeps its ID then and isn't carried out twice. Giving
// what is ordered under the same number writes nothing. Errors: those of
// lease.Lease.Commit, ErrUnavailable, FencedError.
func (b *Book) Give(ctx context.Context, held *lease.Lease, vm, model string) error {
	if err := held.Check(); err != nil {
		return err
	}
	last, version, err := b.read(ctx, vm)
	if err != nil && !errors.Is(err, ErrNone) {
		return err
	}
	next := Order{ID: last.ID, Fence: held.Fence(), Model: model}
	if last.Fence > next.Fence {
		return &FencedError{Fence: next.Fence, Newest: last.Fence}
	}
	if last == next {
		return nil
	}
	if last.Model != model {
		next.ID = uuid.NewString()
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the order")
	}
	return held.Commit(ctx, []storage.Write{{Key: rowKey(vm), Value: value, Expect: version}})
}

// Read reads the newest order to a VM's agent: ErrNone, ErrUnavailable or
// ErrCorrupt.
func (b *Book) Read(ctx context.Context, vm string) (Order, error) {
	order, _, err := b.read(ctx, vm)
	return order, err
}

func (b *Book) read(ctx context.Context, vm string) (Order, uint64, error) {
	row, err := b.table.Get(ctx, rowKey(vm))
	if errors.Is(err, storage.ErrNotFound) {
		return Order{}, 0, ErrNone
	}
	if err != nil {
		return Order{}, 0, errors.Join(ErrUnavailable, err)
	}
	order, err := parse(row)
	return order, row.Version, err
}
