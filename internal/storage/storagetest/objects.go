package storagetest

import (
	"context"
	"slices"
	"sync"

	"github.com/applepier/applepier/internal/storage"
)

// Objects is a storage.Objects in memory.
type Objects struct {
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
}

var _ storage.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{objects: map[string][]byte{}}
}

// SetDown makes all calls fail with ErrUnavailable, or ends that.
func (o *Objects) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// PutObject implements storage.Objects.
func (o *Objects) PutObject(ctx context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down || ctx.Err() != nil {
		return storage.ErrUnavailable
	}
	o.objects[key] = slices.Clone(value)
	return nil
}

// GetObject implements storage.Objects.
func (o *Objects) GetObject(ctx context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down || ctx.Err() != nil {
		return nil, storage.ErrUnavailable
	}
	value, ok := o.objects[key]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return slices.Clone(value), nil
}
