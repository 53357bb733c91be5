// Package counted counts the calls to the platform's services in the metrics.
// Start reading at New.
package counted

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/storage"
)

// Services are all that the platform offers.
type Services interface {
	storage.Table
	storage.Objects
	storage.VMList
}

// Platform passes each call on and counts it.
type Platform struct {
	services Services
	calls    *metrics.Platform
}

var _ Services = (*Platform)(nil)

// New returns services whose calls are counted in calls.
func New(services Services, calls *metrics.Platform) *Platform {
	return &Platform{services: services, calls: calls}
}

// Get implements storage.Table.
func (p *Platform) Get(ctx context.Context, key string) (storage.Row, error) {
	row, err := p.services.Get(ctx, key)
	p.calls.Read(failure(err))
	return row, err
}

// List implements storage.Table.
func (p *Platform) List(ctx context.Context, prefix string) ([]storage.Row, error) {
	rows, err := p.services.List(ctx, prefix)
	p.calls.Read(failure(err))
	return rows, err
}

// Commit implements storage.Table.
func (p *Platform) Commit(ctx context.Context, writes []storage.Write) error {
	err := p.services.Commit(ctx, writes)
	p.calls.Write(failure(err))
	return err
}

// PutObject implements storage.Objects.
func (p *Platform) PutObject(ctx context.Context, key string, value []byte) error {
	err := p.services.PutObject(ctx, key, value)
	p.calls.Write(failure(err))
	return err
}

// GetObject implements storage.Objects.
func (p *Platform) GetObject(ctx context.Context, key string) ([]byte, error) {
	value, err := p.services.GetObject(ctx, key)
	p.calls.Read(failure(err))
	return value, err
}

// VMs implements storage.VMList.
func (p *Platform) VMs(ctx context.Context) ([]storage.VM, error) {
	vms, err := p.services.VMs(ctx)
	p.calls.Read(failure(err))
	return vms, err
}

// failure drops the errors by which a healthy service answers: there is no
// such row, or it is at another version.
func failure(err error) error {
	if errors.Is(err, storage.ErrNotFound) || errors.Is(err, storage.ErrConflict) {
		return nil
	}
	return err
}
