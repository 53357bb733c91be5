package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	// sendInterval is the shortest time between two requests of SendUntil, sendTimeout the time that their
	// caller waits for each.
	sendInterval = 20 * time.Millisecond
	sendTimeout  = 500 * time.Millisecond
)

// SendUntil sends requests with an ID to the gateway, one after the other, until ctx ends. It ignores the
// responses, and gives up on requests to a gateway that is suspended or gone.
func (f *Fixture) SendUntil(ctx context.Context, id string) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, sendTimeout)
		_ = f.Do(f.Request(call, http.MethodPost, "/safe/x", id, nil))
		cancel()
		<-ticker.C
	}
}
