package storagetest

import (
	"context"
	"slices"
	"sync"

	"github.com/applepier/applepier/internal/storage"
)

// ObjectStore is an in-memory storage.ObjectStore.
type ObjectStore struct {
	mu          sync.Mutex
	objects     map[string][]byte
	unavailable bool
}

var _ storage.ObjectStore = (*ObjectStore)(nil)

// NewObjectStore returns an empty ObjectStore.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{objects: map[string][]byte{}}
}

// SetUnavailable sets whether all calls fail with storage.ErrUnavailable.
func (o *ObjectStore) SetUnavailable(unavailable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unavailable = unavailable
}

// PutObject implements storage.ObjectStore.
func (o *ObjectStore) PutObject(ctx context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable || ctx.Err() != nil {
		return storage.ErrUnavailable
	}
	o.objects[key] = slices.Clone(value)
	return nil
}

// GetObject implements storage.ObjectStore.
func (o *ObjectStore) GetObject(ctx context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable || ctx.Err() != nil {
		return nil, storage.ErrUnavailable
	}
	value, ok := o.objects[key]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return slices.Clone(value), nil
}
