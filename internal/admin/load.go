package admin

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/targets/store"
)

// loadTimeout limits the read of the newest targets. After it, the targets
// applied in this process are returned instead.
const loadTimeout = 2 * time.Second

// loadTargets returns the newest targets and their source. It reads from the
// table service, so that operators see a change immediately through every
// entry. If that fails, it returns the targets applied in this process.
func (a *API) loadTargets(ctx context.Context) (*targets.Set, targetsSource) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	set, err := a.store.Load(ctx)
	if err != nil {
		a.log.Warn(logging.EventAdminReadFailed, zap.Error(err))
		if errors.Is(err, store.ErrCorrupt) {
			return a.targets.Current(), sourceMemoryUndecoded
		}
		return a.targets.Current(), sourceMemory
	}
	a.targets.UpdateIfNewer(set)
	return set, sourceTable
}
