package orders

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/lease"
	"github.com/applepier/applepier/internal/storage"
)

// Guard rejects orders with stale fencing tokens on behalf of an engine that does
// not check the fencing token. It stores nothing on its VM: after a restart it rejects all
// orders until it has read the newest fencing token from the table service.
type Guard struct {
	table     storage.Table
	leaseName string
	store     *Store
	vm        string

	mu        sync.Mutex
	refreshed bool
	newest    uint64
}

// NewGuard returns a guard for the agent on a VM, which checks orders issued under
// the named lease. Refresh must be called before Admit.
func NewGuard(table storage.Table, leaseName, vm string) *Guard {
	return &Guard{table: table, leaseName: leaseName, store: NewStore(table), vm: vm}
}

// Refresh reads the newest fencing token from the rows of the lease and of the
// last order. Errors: ErrUnavailable, ErrCorrupt.
func (g *Guard) Refresh(ctx context.Context) error {
	fencingToken, err := lease.CurrentFencingToken(ctx, g.table, g.leaseName)
	if err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	last, err := g.store.Read(ctx, g.vm)
	if err != nil && !errors.Is(err, ErrNone) {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshed = true
	g.newest = max(g.newest, fencingToken, last.FencingToken)
	return nil
}

// Admit accepts an order's fencing token and records it as the newest. It returns a
// FencedError if it is stale, and ErrNotRefreshed before the first Refresh.
func (g *Guard) Admit(fencingToken uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.refreshed {
		return ErrNotRefreshed
	}
	if fencingToken < g.newest {
		return &FencedError{FencingToken: fencingToken, Newest: g.newest}
	}
	g.newest = fencingToken
	return nil
}
