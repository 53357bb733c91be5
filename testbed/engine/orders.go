package engine

import (
	"slices"
	"sync"

	"github.com/applepier/applepier/internal/engine"
)

// orders keeps what the engine was told to load.
type orders struct {
	mu     sync.Mutex
	fence  uint64
	taken  []engine.Order
	models []string
}

// take carries an order out unless its fencing number is old and the engine
// checks that.
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

// list returns the orders that were carried out, in their order.
func (o *orders) list() []engine.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]engine.Order{}, o.taken...)
}

// loaded returns the models that are loaded.
func (o *orders) loaded() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.models)
}
