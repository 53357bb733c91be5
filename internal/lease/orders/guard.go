package orders

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/storage"
)

// Guard refuses orders under old fencing numbers, in the place of an engine
// that ignores the number. It keeps nothing on its VM: after a restart it
// reads the newest number from the table service, and refuses all orders until
// then.
type Guard struct {
	table storage.Table
	lease string
	book  *Book
	vm    string

	mu       sync.Mutex
	restored bool
	newest   uint64
}

// NewGuard returns the guard of a VM's agent against orders under the named
// lease. Restore must come first.
func NewGuard(table storage.Table, leaseName, vm string) *Guard {
	return &Guard{table: table, lease: leaseName, book: NewBook(table), vm: vm}
}

// Restore reads the newest fencing number, of the lease and of the last order:
// ErrUnavailable or ErrCorrupt.
func (g *Guard) Restore(ctx context.Context) error {
	fence, err := lease.CurrentFence(ctx, g.table, g.lease)
	if err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	last, err := g.book.Read(ctx, g.vm)
	if err != nil && !errors.Is(err, ErrNone) {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restored = true
	g.newest = max(g.newest, fence, last.Fence)
	return nil
}

// Admit takes note of an order's fencing number and refuses an old one with a
// FencedError, and any before Restore with ErrNotRestored.
func (g *Guard) Admit(fence uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.restored {
		return ErrNotRestored
	}
	if fence < g.newest {
		return &FencedError{Fence: fence, Newest: g.newest}
	}
	g.newest = fence
	return nil
}
