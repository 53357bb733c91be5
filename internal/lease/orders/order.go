// Package orders carries orders to the agents of engines, given under a lease:
// which model an engine loads. An order is a row that the lease's holder
// writes together with its renewal, so that none is written under an old
// fencing number; an agent reads its own row. Agents refuse older numbers
// also for engines that ignore them. Start reading at Book, and at Follower
// for the agent's side.
package orders

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// LeaseName names the lease that orders are given under.
const LeaseName = "models"

// Order is the newest order to the agent on one VM.
type Order struct {
	// ID is unique to the order.
	ID string `json:"id"`
	// Fence is the fencing number of the lease it was given under.
	Fence uint64 `json:"fence"`
	// Model is the model to load.
	Model string `json:"model"`
}

// rowKey returns the key of the row of a VM's order.
func rowKey(vm string) string { return "orders/" + vm }

func parse(row storage.Row) (Order, error) {
	var order Order
	if err := json.Unmarshal(row.Value, &order); err != nil {
		return Order{}, errors.Join(ErrCorrupt, err)
	}
	return order, nil
}
