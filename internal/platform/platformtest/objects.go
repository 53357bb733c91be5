package platformtest

import (
	"context"
	"slices"
	"sync"

	"github.com/applepier/applepier/internal/platform"
)

// Objects is a platform.Objects in memory.
type Objects struct {
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
}

var _ platform.Objects = (*Objects)(nil)

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

// PutObject implements platform.Objects.
func (o *Objects) PutObject(ctx context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	o.objects[key] = slices.Clone(value)
	return nil
}

// GetObject implements platform.Objects.
func (o *Objects) GetObject(ctx context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down || ctx.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	value, ok := o.objects[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(value), nil
}
