package engine_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/engine"
)

// orderTime is how long an engine carries out an order here: longer than any call
// that only reads the engine's state may take.
const orderTime = 3 * time.Second

// Guards against an order that fails at the agent while the engine is still
// loading the model, so that the agent goes on to serve the earlier one.
func TestOrderMayTakeLongerThanOtherCalls(t *testing.T) {
	url := serveHTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(orderTime):
		case <-r.Context().Done():
		}
	})
	order := engine.Order{FencingToken: 1, LoadModel: "m"}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := engine.NewClient(url).SendOrder(ctx, order); err != nil {
		t.Errorf("order that takes %v: %v", orderTime, err)
	}
	ctx, cancel = context.WithTimeout(t.Context(), orderTime/10)
	defer cancel()
	if err := engine.NewClient(url).SendOrder(ctx, order); err == nil {
		t.Error("an order outlasted its context")
	}
}
