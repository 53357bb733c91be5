// Package orders sends orders to the agents of engines: which model an engine
// should load. An order is a row that the holder of a lease writes in one
// transaction with its renewal, so that none is written under a stale fencing token;
// each agent polls its own row. Agents reject stale tokens even if the engine does
// not check them. Start reading at Store, and at Executor for the agent's side.
package orders

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// LeaseName is the name of the lease under which orders are issued.
const LeaseName = "models"

// Order is the newest order to the agent on a VM.
type Order struct {
	// ID identifies the order. It stays the same when a new holder of the lease
	// issues the same order again.
	ID string `json:"id"`
	// FencingToken is the fencing token of the lease under which the order was issued.
	FencingToken uint64 `json:"fence"`
	// Model is the name of the model to load.
	Model string `json:"model"`
}

// rowKey returns the key of the row of a VM's order.
func rowKey(vm string) string { return "orders/" + vm }

func decodeOrder(row storage.Row) (Order, error) {
	var order Order
	if err := json.Unmarshal(row.Value, &order); err != nil {
		return Order{}, errors.Join(ErrCorrupt, err)
	}
	return order, nil
}
