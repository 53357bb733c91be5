package gateway

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
)

const (
	// retryInitialInterval and againLongest bound the pause before a call to the store that must
	// not be left out is made again.
	retryInitialInterval = 200 * time.Millisecond
	retryMaxInterval     = 5 * time.Second
)

// retryUntilDone makes a call to the store until it succeeds or ctx ends; event is logged for
// each that fails.
func (g *gateway) retryUntilDone(ctx context.Context, event string, call func(context.Context) error) {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval, backOff.MaxInterval = retryInitialInterval, retryMaxInterval
	for ctx.Err() == nil {
		err := call(ctx)
		if err == nil {
			return
		}
		g.log.Warn(event, logging.Reason(err.Error()))
		pause.For(ctx, backOff.NextBackOff())
	}
}
