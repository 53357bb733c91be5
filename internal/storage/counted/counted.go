// Package counted wraps the platform's services to count calls and failures in
// the metrics. Start reading at New.
package counted

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/storage"
)

// Services combines all services of the platform.
type Services interface {
	storage.Table
	storage.ObjectStore
	storage.VMList
}

// Platform implements Services. It forwards each call to the wrapped Services
// and counts it.
type Platform struct {
	services Services
	calls    *metrics.PlatformCalls
}

var _ Services = (*Platform)(nil)

// New returns a Platform that forwards to services and counts in calls.
func New(services Services, calls *metrics.PlatformCalls) *Platform {
	return &Platform{services: services, calls: calls}
}

// Get implements storage.Table.
func (p *Platform) Get(ctx context.Context, key string) (storage.Row, error) {
	row, err := p.services.Get(ctx, key)
	p.calls.Read(countableFailure(err))
	return row, err
}

// List implements storage.Table.
func (p *Platform) List(ctx context.Context, prefix string) ([]storage.Row, error) {
	rows, err := p.services.List(ctx, prefix)
	p.calls.Read(countableFailure(err))
	return rows, err
}

// Commit implements storage.Table.
func (p *Platform) Commit(ctx context.Context, writes []storage.Write) error {
	err := p.services.Commit(ctx, writes)
	p.calls.Write(countableFailure(err))
	return err
}

// PutObject implements storage.ObjectStore.
func (p *Platform) PutObject(ctx context.Context, key string, value []byte) error {
	err := p.services.PutObject(ctx, key, value)
	p.calls.Write(countableFailure(err))
	return err
}

// GetObject implements storage.ObjectStore.
func (p *Platform) GetObject(ctx context.Context, key string) ([]byte, error) {
	value, err := p.services.GetObject(ctx, key)
	p.calls.Read(countableFailure(err))
	return value, err
}

// VMs implements storage.VMList.
func (p *Platform) VMs(ctx context.Context) ([]storage.VM, error) {
	vms, err := p.services.VMs(ctx)
	p.calls.Read(countableFailure(err))
	return vms, err
}

// countableFailure returns err, or nil for ErrNotFound and ErrConflict, which a
// healthy service returns in normal operation.
func countableFailure(err error) error {
	if errors.Is(err, storage.ErrNotFound) || errors.Is(err, storage.ErrConflict) {
		return nil
	}
	return err
}
