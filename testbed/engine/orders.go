package engine

import (
	"slices"
	"sync"

	"github.com/applepier/applepier/internal/engine"
)

// orderLog stores the executed orders and the models they loaded. It is safe for
// concurrent use.
type orders struct {
	mu     sync.Mutex
	fence  uint64
	taken  []engine.Order
	models []string
}

// execute executes an order. Unless ignoreFencingToken is set, it returns
// ErrStaleFencingToken if an earlier order had a higher fencing token.
func (o *orders) take(order engine.Order, ignoreFence bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if order.Fence < o.fence && !ignoreFence {
		return engine.ErrFenced
	}
	o.fence = max(o.fence, order.Fence)
	o.taken = append(o.taken, order)
	if order.LoadModel != "" && !slices.Contains(o.models, order.LoadModel) {
		o.models = append(o.models, order.LoadModel)
	}
	return nil
}

// list returns the executed orders in order of execution.
func (o *orders) list() []engine.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]engine.Order{}, o.taken...)
}

// loadedModels returns the names of the loaded models.
func (o *orders) loaded() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.models)
}
