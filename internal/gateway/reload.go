package gateway

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/settings"
)

const (
	// reloadInterval is the time between two reads of the settings without a signal, since the file
	// may change without one.
	reloadInterval = 5 * time.Second
	// clockSkewMargin is subtracted from the bound on the age of the desired state, to allow for
	// clocks that differ slightly.
	clockSkewMargin = 100 * time.Millisecond
)

// watchSettings reads the settings on SIGHUP and every reloadInterval until ctx ends, and applies the
// changed bounds and memory limit. Other changes, such as of addresses and names, take effect at the
// next start.
func (g *gateway) watchSettings(ctx context.Context, reload func() (settings.Gateway, error)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	current := g.settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
		}
		changed, err := reload()
		switch {
		case err != nil:
			g.log.Warn(logging.EventSettingsRejected, logging.Reason(err.Error()))
		case !reflect.DeepEqual(changed, current):
			current = changed
			limitMemory(changed.MemoryLimitMB)
			g.drainBound.Store(int64(drainBound(changed)))
			g.router.SetBounds(routerBounds(changed))
			g.log.Info(logging.EventSettingsChanged)
		}
	}
}

// routerBounds derives the router's bounds from the settings.
func routerBounds(s settings.Gateway) router.Bounds {
	bounds := router.Bounds{RetryRatio: s.RetryBudget.Ratio, RetryExtra: s.RetryBudget.ExtraPerWindow, RetryWindow: s.RetryBudget.Window, MaxRequestMemory: int64(requestMemoryShare * s.MemoryLimitMB * megabyte)}
	if s.Revocation.Strict {
		bounds.MaxStateAge = max(s.Revocation.MaxDelay-clockSkewMargin, time.Millisecond)
	}
	return bounds
}
