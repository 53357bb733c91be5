package gateway

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
)

const (
	// retryInitialInterval and retryMaxInterval bound the pause between attempts of a call to the
	// store that must not be skipped.
	retryInitialInterval = 200 * time.Millisecond
	retryMaxInterval     = 5 * time.Second
)

// retryUntilDone calls the store until the call succeeds or ctx ends. It logs event for each failed
// attempt.
func (g *gateway) retryUntilDone(ctx context.Context, event string, call func(context.Context) error) {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval, backOff.MaxInterval = retryInitialInterval, retryMaxInterval
	for ctx.Err() == nil {
		err := call(ctx)
		if err == nil {
			return
		}
		g.log.Warn(event, logging.Reason(err.Error()))
		pause.Sleep(ctx, backOff.NextBackOff())
	}
}
