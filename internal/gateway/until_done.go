package gateway

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
)

const (
	// againFirst and againLongest bound the pause before a call to the store that must
	// not be left out is made again.
	againFirst   = 200 * time.Millisecond
	againLongest = 5 * time.Second
)

// untilDone makes a call to the store until it succeeds or ctx ends; event is logged for
// each that fails.
func (g *gateway) untilDone(ctx context.Context, event string, call func(context.Context) error) {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval, backOff.MaxInterval = againFirst, againLongest
	for ctx.Err() == nil {
		err := call(ctx)
		if err == nil {
			return
		}
		g.log.Warn(event, logging.Reason(err.Error()))
		pause.For(ctx, backOff.NextBackOff())
	}
}
