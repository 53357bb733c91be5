package engine

import (
	"slices"
	"sync"

	"github.com/applepier/applepier/internal/engine"
)

// orderLog stores the executed orders and the models they loaded. It is safe for
// concurrent use.
type orderLog struct {
	mu           sync.Mutex
	fencingToken uint64
	executed     []engine.Order
	models       []string
}

// execute executes an order. Unless ignoreFencingToken is set, it returns
// ErrStaleFencingToken if an earlier order had a higher fencing token.
func (o *orderLog) execute(order engine.Order, ignoreFencingToken bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if order.FencingToken < o.fencingToken && !ignoreFencingToken {
		return engine.ErrStaleFencingToken
	}
	o.fencingToken = max(o.fencingToken, order.FencingToken)
	o.executed = append(o.executed, order)
	if order.LoadModel != "" && !slices.Contains(o.models, order.LoadModel) {
		o.models = append(o.models, order.LoadModel)
	}
	return nil
}

// list returns the executed orders in order of execution.
func (o *orderLog) list() []engine.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]engine.Order{}, o.executed...)
}

// loadedModels returns the names of the loaded models.
func (o *orderLog) loadedModels() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.models)
}
